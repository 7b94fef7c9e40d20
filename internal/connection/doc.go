// Package connection holds what lives as long as a network connection: callers'
// connections and the requests on them, the pool of connections to backend
// servers, and the detection of callers that disconnect while their request runs.
package connection
