// Package schedule places a request on a backend server in three steps:
// filter removes candidates that may not get new work, score rates the rest
// and pick chooses one. It is pure: the caller passes an immutable table.
package schedule
