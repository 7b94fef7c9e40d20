// Package gossippb contains the generated messages between entry hosts.
package gossippb

//go:generate buf generate --template "{\"version\":\"v2\",\"plugins\":[{\"local\":\"protoc-gen-go\",\"out\":\".\",\"opt\":\"paths=source_relative\"}]}" .
