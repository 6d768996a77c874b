package main

import (
	_ "embed"
	"encoding/json"
	"strings"
)

var (
	//go:embed names.json
	namesText []byte
	//go:embed settings.json
	settingsText string
	//go:embed configuration.json
	configurationText string
	//go:embed heartbeat.json
	heartbeatText string
	//go:embed job.json
	jobText string
	//go:embed sizeless-job.json
	sizelessJobText string

	names = parseNames()
)

func parseNames() map[string]string {
	var m map[string]string
	if err := json.Unmarshal(namesText, &m); err != nil {
		panic(err)
	}

	return m
}

// fill replaces each %NAME% in a text.
func fill(text string, values map[string]string) string {
	for name, value := range values {
		text = strings.ReplaceAll(text, "%"+name+"%", value)
	}

	return text
}
