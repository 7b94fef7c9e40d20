// Package peerpb contains the generated messages and the drpc service that the daemons of a cell call.
package peerpb

//go:generate protoc --go_out=paths=source_relative:. --go-drpc_out=paths=source_relative:. peer.proto
