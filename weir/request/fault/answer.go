package fault

import "encoding/json"

type errorResponse struct {
	Error errorBody `json:"error"`
}

type errorBody struct {
	Code         string `json:"code"`
	Message      string `json:"message"`
	Field        string `json:"field,omitempty"`
	Ran          Ran    `json:"ran"`
	RetryAfterMS int64  `json:"retry_after_ms,omitempty"`
	Submission   string `json:"submission,omitempty"`
}

// Marshal returns the JSON response body for err. The ID of the submission may be empty.
func Marshal(err error, submission string) []byte {
	body, _ := json.Marshal(errorResponse{Error: errorBody{
		Code:         KindOf(err).Code(),
		Message:      err.Error(),
		Field:        FieldOf(err),
		Ran:          RanOf(err),
		RetryAfterMS: RetryAfterOf(err).Milliseconds(),
		Submission:   submission,
	}})

	return body
}
