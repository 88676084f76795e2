// Package peerpb holds the generated messages between daemons.
//
// # Usage
//
// Package peer converts these messages to and from its own types; other packages
// do not use them.
package peerpb

//go:generate protoc --go_out=. --go_opt=paths=source_relative --go-grpc_out=. --go-grpc_opt=paths=source_relative peer.proto
