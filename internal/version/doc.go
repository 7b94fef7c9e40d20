// Package version builds the routing snapshot: the services, teams and backend
// servers that requests are routed by, taken from one version of the
// configuration, the host list and the load reports. A snapshot is immutable; a
// change of any input leads to a new one.
package version
