package caller

import (
	"encoding/json"
	"strconv"
	"time"
)

// inputBody is the JSON form of a task's input, as the stand-in backend server reads it.
type inputBody struct {
	RunMS float64 `json:"run_ms"`
	// Echo is the output of the task. It is random, so that the output of another task is detected.
	Echo    string `json:"echo"`
	Padding string `json:"padding,omitempty"`
}

// TaskInput returns the input of a task that runs for the given time at a stand-in backend server and returns the
// nonce as its output.
func TaskInput(run time.Duration, nonce uint64, padding string) []byte {
	text, _ := json.Marshal(inputBody{milliseconds(run), strconv.FormatUint(nonce, 16), padding})

	return text
}

// expectedOutput returns the output that the input demands, and false if TaskInput did not create the input.
func expectedOutput(input []byte) (string, bool) {
	var b inputBody
	if err := json.Unmarshal(input, &b); err != nil || b.Echo == "" {
		return "", false
	}

	return b.Echo, true
}
