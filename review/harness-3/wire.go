package main

import (
	"embed"
	"encoding/json"
)

// data has the names and messages of the platform's protocol.
//
//go:embed data/*.json
var data embed.FS

// wire has the names of the platform's calls, headers and fields.
var wire = func() (w struct {
	SettingsVariable, OperatorTopic, CallerDeadline, InstanceHeader string
	Start, Stop, Watch, Append, Newest, Read                        string
	Token, LastEnd, Wait, LeaseEnd, Repeatable, Estimate            string
}) {
	must(json.Unmarshal(mustRead("wire.json"), &w))

	return w
}()

func mustRead(name string) []byte {
	b, err := data.ReadFile("data/" + name)
	must(err)

	return b
}

// mustReadObject returns an embedded JSON object.
func mustReadObject(name string) map[string]any {
	var object map[string]any

	must(json.Unmarshal(mustRead(name), &object))

	return object
}

// must panics on errors that only a fault of this program can cause.
func must(err error) {
	if err != nil {
		panic(err)
	}
}
