// Package wire holds the messages between entries and sidecars, generated from wire.proto.
//
// Every stream carries Frames, each with its length as a varint in front. docs/protocol.md describes the exchanges.
package wire
