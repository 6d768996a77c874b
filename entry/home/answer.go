package home

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
)

type answerBody struct {
	Submission string       `json:"submission"`
	State      string       `json:"state"`
	Length     int64        `json:"length"`
	Digest     string       `json:"digest"`
	Results    []resultBody `json:"results"`
}

type resultBody struct {
	Index  int    `json:"index"`
	Output []byte `json:"output"`
}

// marshalAnswer returns the JSON answer of a complete submission. Length and digest cover the outputs in task order.
func marshalAnswer(id string, outputs [][]byte) []byte {
	b := answerBody{Submission: id, State: "complete", Results: make([]resultBody, len(outputs))}
	h := sha256.New()

	for i, o := range outputs {
		if o == nil {
			o = []byte{}
		}

		h.Write(o)
		b.Length += int64(len(o))
		b.Results[i] = resultBody{i, o}
	}

	b.Digest = hex.EncodeToString(h.Sum(nil))
	// Marshal cannot fail, as the body has only strings, integers and byte slices.
	body, _ := json.Marshal(b)

	return body
}
