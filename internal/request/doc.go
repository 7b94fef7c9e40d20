// Package request serves the requests of callers: it authenticates them, reserves a
// slot at a backend server, sends the request, and relays the response. It resumes
// interrupted generations, sends orders at most once, and reports errors as problem
// documents.
package request
