// Package config holds the configuration document, the changes operators make
// to it and the checks a change must pass before it is accepted.
//
// The package is pure: it reads no clock and does no I/O.
package config
