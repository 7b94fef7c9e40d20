// Package placement shares the pure dispatchers among the requests of a
// process: a lock per service, held for the time of one decision.
package placement
