// Package daemon assembles monsoonkeeld: it builds the parts that live as long
// as the process, runs their loops and stops them gracefully.
package daemon
