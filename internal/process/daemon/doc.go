// Package daemon assembles the monsoonkeeld process: it creates its components,
// runs their loops and shuts them down gracefully.
package daemon
