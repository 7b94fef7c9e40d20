// Package peerpb holds the generated messages and drpc service between daemons.
package peerpb

//go:generate protoc --go_out=paths=source_relative:. --go-drpc_out=paths=source_relative:. peer.proto
