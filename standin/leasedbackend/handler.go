package leasedbackend

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"time"

	"github.com/gorilla/mux"

	"github.com/skylarkweir/skylarkweir/sidecar/leasedbackend"
	"github.com/skylarkweir/skylarkweir/sidecar/repeatable"
)

// maxBodyBytes limits the body of a request.
const maxBodyBytes = 4 << 20

// Register adds the HTTP interface of the backend server to a router.
func (s *Server) Register(r *mux.Router) {
	r.HandleFunc(leasedbackend.StatusPath, s.serveStatus).Methods(http.MethodGet)
	r.HandleFunc(leasedbackend.StartPath, s.serveStart).Methods(http.MethodPost)
	r.HandleFunc(leasedbackend.StopPath, s.serveStop).Methods(http.MethodPost)
	r.HandleFunc(leasedbackend.WatchPath, s.serveWatch).Methods(http.MethodPost)
}

func (s *Server) serveStatus(w http.ResponseWriter, _ *http.Request) {
	writeResponse(w, leasedbackend.Status{Instance: s.Instance(), StartedAtMS: s.StartedAtMS()}, nil)
}

func (s *Server) serveStart(w http.ResponseWriter, r *http.Request) {
	var request leasedbackend.StartRequest
	if !decode(w, r, &request) {
		return
	}

	answer, err := s.Start(r.Context(), request.Run.Decode(), request.Input, request.Permit.Decode())
	writeResponse(w, leasedbackend.StartResponse{
		Result: answer.Result().String(), ClockMS: answer.Clock().Milliseconds(),
	}, err)
}

func (s *Server) serveStop(w http.ResponseWriter, r *http.Request) {
	var request leasedbackend.StopRequest
	if !decode(w, r, &request) {
		return
	}

	writeResponse(w, struct{}{}, s.Stop(r.Context(), request.Run.Decode(), request.Permit.Decode()))
}

func (s *Server) serveWatch(w http.ResponseWriter, r *http.Request) {
	var request leasedbackend.WatchRequest
	if !decode(w, r, &request) {
		return
	}

	watched, err := s.Watch(
		r.Context(), request.LastEnd, time.Duration(request.WaitMS)*time.Millisecond, request.Permit.Decode(),
	)
	response := leasedbackend.WatchResponse{
		ClockMS: watched.Clock().Milliseconds(), StartedAtMS: watched.StartedAtMS(), Fenced: watched.Fenced(),
	}

	for _, rn := range watched.Running() {
		response.Running = append(response.Running, leasedbackend.NewRun(rn))
	}

	for _, e := range watched.Ended() {
		response.Ended = append(response.Ended, leasedbackend.EndedRun{
			Number: e.Number(), Run: leasedbackend.NewRun(e.Run()), Outcome: e.Outcome().String(),
		})
	}

	writeResponse(w, response, err)
}

func decode(w http.ResponseWriter, r *http.Request, into any) bool {
	err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(into)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
	}

	return err == nil
}

// writeResponse writes the response of a call, or closes the connection if the answer is dropped.
func writeResponse(w http.ResponseWriter, body any, err error) {
	switch {
	case errors.Is(err, repeatable.ErrOtherInstance):
		http.Error(w, err.Error(), http.StatusConflict)
	case errors.Is(err, errAnswerDropped), errors.Is(err, errConnectionReset), errors.Is(err, repeatable.ErrNotReached),
		errors.Is(err, context.Canceled), errors.Is(err, context.DeadlineExceeded):
		panic(http.ErrAbortHandler)
	case err != nil:
		http.Error(w, err.Error(), http.StatusInternalServerError)
	default:
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(body)
	}
}
