package caller

import (
	"encoding/json"
	"strconv"
	"time"
)

// inputBody is what the stand-in backend server understands.
type inputBody struct {
	RunMS float64 `json:"run_ms"`
	// Echo is the output. It is random, so that the output of another task is noticed.
	Echo    string `json:"echo"`
	Padding string `json:"padding,omitempty"`
}

// Input returns the input of a task that runs for the given time at a stand-in backend server.
func TaskInput(run time.Duration, nonce uint64, padding string) []byte {
	text, _ := json.Marshal(inputBody{milliseconds(run), strconv.FormatUint(nonce, 16), padding})

	return text
}

// expected returns the output of a task, and false if the input is not one that Input made.
func expectedOutput(input []byte) (string, bool) {
	var b inputBody
	if err := json.Unmarshal(input, &b); err != nil || b.Echo == "" {
		return "", false
	}

	return b.Echo, true
}
