package caller

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/skylarkweir/skylarkweir/weir/request/fault"
)

const (
	// localEventInterval is how often the progress of a submission of this entry is compared with the last event.
	localEventInterval = 100 * time.Millisecond
	// remoteEventInterval is longer because each comparison sends a message to the home.
	remoteEventInterval = 500 * time.Millisecond
)

type event struct {
	progress
	Status int             `json:"status,omitempty"`
	Error  json.RawMessage `json:"error,omitempty"`
}

// events writes a line for each change of the progress, until the submission ends or the caller disconnects.
func (s *Server) events(w http.ResponseWriter, r *http.Request, member string) Reply {
	id, t, err := s.verifyPathTicket(r, member)
	if err != nil {
		return Refuse(err, id)
	}

	interval := remoteEventInterval
	if s.local.Owns(id, t) {
		interval = localEventInterval
	}

	tick := time.NewTicker(interval)
	defer tick.Stop()

	var last event

	for first := true; ; first = false {
		reply := s.router.State(r.Context(), id, t)
		if first && isStateUnavailable(reply) {
			return reply
		}

		// An event announces the answer but does not contain its output, so the answer is not delivered.
		reply.ReportDelivery(false)

		if first {
			w.Header().Set("Content-Type", "application/x-ndjson")
		}

		e := newEvent(id, reply, last)
		if first || e.progress != last.progress {
			if json.NewEncoder(w).Encode(e) != nil || http.NewResponseController(w).Flush() != nil {
				return Reply{}
			}
		}

		if e.State != stateRunning {
			return Reply{}
		}

		last = e

		select {
		case <-tick.C:
		case <-r.Context().Done():
			return Reply{}
		}
	}
}

// isStateUnavailable reports whether the state could not be determined, as opposed to the state of a failed submission.
func isStateUnavailable(r Reply) bool {
	return r.refused || r.Status() == fault.UnknownSubmission.Status()
}

func newEvent(id string, reply Reply, last event) event {
	e := event{progress: progress{id, stateOf(reply.Status()), last.Ended, last.Total}}
	if isStateUnavailable(reply) {
		e.State = stateUnknown
	}

	if reply.Status() == http.StatusAccepted {
		_ = json.Unmarshal(reply.Body(), &e.progress)

		return e
	}

	e.Status = reply.Status()

	if reply.Status() != http.StatusOK {
		var failed struct {
			Error json.RawMessage `json:"error"`
		}

		_ = json.Unmarshal(reply.Body(), &failed)
		e.Error = failed.Error

		return e
	}

	e.Ended = e.Total

	return e
}
