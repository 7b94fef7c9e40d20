// Package peerpb contains the generated messages and drpc service for calls between the daemons of
// a cell.
package peerpb

//go:generate protoc --go_out=paths=source_relative:. --go-drpc_out=paths=source_relative:. peer.proto
