// Package version holds the routing snapshot: everything a request needs to
// be placed, built from one version of the configuration, the host list and
// the load reports. A snapshot is immutable and replaced as a whole.
package version
