package caller

import (
	"encoding/json"
	"strconv"
	"time"
)

// inputBody is what the stand-in backend server understands.
type inputBody struct {
	RunMS float64 `json:"run_ms"`
	// Nonce makes inputs differ, so that an answer to another submission is noticed.
	Nonce   string `json:"nonce"`
	Padding string `json:"padding,omitempty"`
}

// Input returns the input of a task that runs for the given time at a stand-in backend server.
func Input(run time.Duration, nonce uint64, padding string) []byte {
	text, _ := json.Marshal(inputBody{milliseconds(run), strconv.FormatUint(nonce, 16), padding})

	return text
}
