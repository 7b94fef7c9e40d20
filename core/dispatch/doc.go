// Package dispatch decides for the requests of one service at one host when
// each is sent and to which backend server. It combines admission control
// (core/admit), the choice of a backend server (core/schedule) and output
// length prediction (core/length).
//
// A Dispatcher is deterministic: callers pass the time with each call, it
// starts no goroutines, and its only source of randomness is its seed. It is
// not safe for concurrent use; a daemon holds one lock per service for the
// duration of a call. Token counts arrive in batches, so that relaying tokens
// never takes that lock.
package dispatch
