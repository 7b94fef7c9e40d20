// Package forward is the request path of an entry host that forwards requests
// unchanged by the operators' routes: it finds the route and team, chooses a
// backend server, sends the request, repeats it where that is safe, relays the
// answer, and moves running generations off backend servers that leave.
package forward
