// Package wire defines the messages between entries and sidecars and among entries, generated from wire.proto.
//
// Every stream carries Frames, each prefixed with its length as a varint. docs/protocol.md describes the exchanges.
package wire
