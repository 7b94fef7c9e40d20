// Package config defines the configuration document, the changes that operators
// make to it and the validation that a change must pass before it is accepted.
//
// The package does no I/O and reads no clock.
package config
