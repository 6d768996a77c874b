package caller

import (
	"encoding/json"
	"net/http"

	"github.com/skylarkweir/skylarkweir/weir/request/fault"
)

// Reply is an HTTP answer for a caller.
type Reply struct {
	status int
	body   []byte
	// reportDelivery is nil, or called once with whether the complete answer was written to the caller.
	reportDelivery func(complete bool)
	// refused is true if the operation was not executed. It is false for the answer of a submission that failed.
	refused bool
}

// NewReply returns a reply; reportDelivery may be nil.
func NewReply(status int, body []byte, reportDelivery func(complete bool)) Reply {
	return Reply{status: status, body: body, reportDelivery: reportDelivery}
}

// Refuse returns the reply for err; submission may be empty.
func Refuse(err error, submission string) Reply {
	return Reply{status: fault.KindOf(err).Status(), body: fault.Marshal(err, submission), refused: true}
}

// Status returns the HTTP status.
func (r Reply) Status() int { return r.status }

// Body returns the JSON body.
func (r Reply) Body() []byte { return r.body }

// ReportDelivery reports to the holder of the answer whether all of it was written to the caller.
func (r Reply) ReportDelivery(complete bool) {
	if r.reportDelivery != nil {
		r.reportDelivery(complete)
	}
}

// progress is the state of a submission and its number of ended tasks.
type progress struct {
	Submission string `json:"submission"`
	State      string `json:"state"`
	Ended      int    `json:"ended"`
	Total      int    `json:"total"`
}

// States of a submission in answers.
const (
	stateRunning  = "running"
	stateComplete = "complete"
	stateFailed   = "failed"
	// stateUnknown means that the home could not be asked or does not hold the submission.
	stateUnknown = "unknown"
)

func stateOf(status int) string {
	if status == http.StatusOK {
		return stateComplete
	}

	return stateFailed
}

func runningReply(id string, h Handle) Reply {
	ended, total := h.Progress()
	body, _ := json.Marshal(progress{id, stateRunning, ended, total})

	return Reply{status: http.StatusAccepted, body: body}
}
