// Package dispatch decides for the requests of one service at one host which
// of them is sent where and when. It combines admission (core/admit),
// placement (core/schedule) and output length prediction (core/length).
//
// A Dispatcher is deterministic: it is driven by events that carry the time,
// has no goroutines, and uses a random source only through its seed. It is not
// safe for concurrent use; a daemon holds a lock per service for the short
// time of a call. Token counts reach it in batches, so that the relay of
// tokens never takes that lock.
package dispatch
