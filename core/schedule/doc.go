// Package schedule selects a backend server for a request in three steps:
// filter removes candidates that may not receive it, score rates the others by
// expected load and pick chooses the lowest score. It does no I/O and starts no
// goroutines; callers pass the candidates and the time.
package schedule
