package caller

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"

	"github.com/ansel1/merry/v2"
)

// answerBody is the JSON form of a complete answer in the HTTP interface for callers.
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

// verify returns the outputs of an answer, or an error if the answer is incomplete or belongs to another submission.
func verify(s Submission, ticket string, body []byte) ([][]byte, error) {
	var b answerBody
	if err := json.Unmarshal(body, &b); err != nil {
		return nil, merry.Prepend(err, "answer is not JSON")
	}

	switch {
	case b.Submission != ticket:
		return nil, merry.Errorf("answer is for another submission, %q", b.Submission)
	case b.State != "complete":
		return nil, merry.Errorf("answer has state %q instead of complete", b.State)
	case len(b.Results) != len(s.inputs):
		return nil, merry.Errorf("answer has %d results for %d tasks", len(b.Results), len(s.inputs))
	}

	outputs := make([][]byte, len(s.inputs))
	digest := sha256.New()
	length := int64(0)

	for i, r := range b.Results {
		if r.Index != i {
			return nil, merry.Errorf("result %d has index %d", i, r.Index)
		}

		if want, known := expectedOutput(s.inputs[i]); known && want != string(r.Output) {
			return nil, merry.Errorf("output of task %d does not match its input", i)
		}

		outputs[i] = r.Output
		length += int64(len(r.Output))
		digest.Write(r.Output)
	}

	if found := hex.EncodeToString(digest.Sum(nil)); b.Length != length || b.Digest != found {
		return nil, merry.Errorf("answer declares length %d and digest %s, its outputs have length %d and digest %s",
			b.Length, b.Digest, length, found)
	}

	return outputs, nil
}
