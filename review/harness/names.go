package main

import (
	"embed"
	"encoding/json"
	"fmt"
)

// messages holds the names and the messages of the platform's protocol. They are data files, so that the code has none of
// the platform's names.
//
//go:embed messages
var messages embed.FS

var names = loadNames()

func loadNames() map[string]string {
	var n map[string]string

	decodeMessage("names", &n)

	return n
}

// name returns the platform's name of a call, a header or a field.
func name(what string) string {
	n, ok := names[what]
	if !ok {
		panic(fmt.Sprintf("names.json has no %q", what))
	}

	return n
}

// newMessage returns a message of the protocol, which the caller may change.
func newMessage(file string) map[string]any {
	var m map[string]any

	decodeMessage(file, &m)

	return m
}

func decodeMessage(file string, target any) {
	data, err := messages.ReadFile("messages/" + file + ".json")
	if err != nil {
		panic(err)
	}

	if err := json.Unmarshal(data, target); err != nil {
		panic(fmt.Sprintf("%s.json: %s", file, err))
	}
}

func encode(message any) []byte {
	data, err := json.Marshal(message)
	if err != nil {
		panic(err)
	}

	return data
}
