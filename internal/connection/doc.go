// Package connection implements the HTTP connections on both sides of a host: a server
// for callers' requests, a client with a pool of connections to backend servers, and the
// detection of callers that disconnect while their request is in flight.
package connection
