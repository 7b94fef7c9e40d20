// Package placement lets the concurrent requests of a process share the
// dispatchers of core/dispatch: one dispatcher per service, each guarded by its
// own lock, which is held for one decision at a time.
package placement
