// Package peerpb contains the gRPC service and messages between daemons, generated from
// peer.proto.
//
// # Usage
//
// Package peer converts the messages to and from the types of other packages. No other
// package imports peerpb.
package peerpb

//go:generate protoc --go_out=. --go_opt=paths=source_relative --go-grpc_out=. --go-grpc_opt=paths=source_relative peer.proto
