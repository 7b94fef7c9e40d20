// Package request holds what lives as long as one request of a caller, a file
// per step: authenticate, place, send, relay, resume, order, pass-through and
// problem documents.
package request
