// Package forward implements the request path of an entry host: it matches the
// route and the team, picks a backend server, sends the request, retries where
// that is safe, relays the response, and migrates running generations off
// terminating backend servers. Requests are forwarded unchanged, by the
// operators' routes.
package forward
