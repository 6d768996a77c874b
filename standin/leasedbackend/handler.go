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

// maxOrder bounds the body of a call in bytes.
const maxOrder = 4 << 20

// Register adds the HTTP interface of the backend server to a router.
func (s *Server) Register(r *mux.Router) {
	r.HandleFunc(leasedbackend.StatusPath, s.serveAbout).Methods(http.MethodGet)
	r.HandleFunc(leasedbackend.StartPath, s.serveStart).Methods(http.MethodPost)
	r.HandleFunc(leasedbackend.StopPath, s.serveStop).Methods(http.MethodPost)
	r.HandleFunc(leasedbackend.WatchPath, s.serveWatch).Methods(http.MethodPost)
}

func (s *Server) serveAbout(w http.ResponseWriter, _ *http.Request) {
	answer(w, leasedbackend.Status{Instance: s.Instance(), StartedAtMS: s.Born()}, nil)
}

func (s *Server) serveStart(w http.ResponseWriter, r *http.Request) {
	var o leasedbackend.StartRequest
	if !decode(w, r, &o) {
		return
	}

	a, clock, err := s.Start(r.Context(), o.Run.Decode(), o.Input, o.Permit.Decode())
	answer(w, leasedbackend.StartResponse{Result: a.String(), ClockMS: clock.Milliseconds()}, err)
}

func (s *Server) serveStop(w http.ResponseWriter, r *http.Request) {
	var o leasedbackend.StopRequest
	if !decode(w, r, &o) {
		return
	}

	answer(w, struct{}{}, s.Stop(r.Context(), o.Run.Decode(), o.Permit.Decode()))
}

func (s *Server) serveWatch(w http.ResponseWriter, r *http.Request) {
	var o leasedbackend.WatchRequest
	if !decode(w, r, &o) {
		return
	}

	v, err := s.Watch(r.Context(), o.LastEnd, time.Duration(o.WaitMS)*time.Millisecond, o.Permit.Decode())
	view := leasedbackend.WatchResponse{ClockMS: v.Clock().Milliseconds(), StartedAtMS: v.StartedAtMS(), Fenced: v.Fenced()}

	for _, one := range v.Running() {
		view.Running = append(view.Running, leasedbackend.NewRun(one))
	}

	for _, e := range v.Ended() {
		view.Ended = append(view.Ended, leasedbackend.EndedRun{
			Number: e.Number(), Run: leasedbackend.NewRun(e.Run()), Outcome: e.Outcome().String(),
		})
	}

	answer(w, view, err)
}

func decode(w http.ResponseWriter, r *http.Request, into any) bool {
	err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxOrder)).Decode(into)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
	}

	return err == nil
}

// answer writes the answer of a call. A lost answer closes the connection.
func answer(w http.ResponseWriter, body any, err error) {
	switch {
	case errors.Is(err, repeatable.ErrOtherInstance):
		http.Error(w, err.Error(), http.StatusConflict)
	case errors.Is(err, errNoAnswer), errors.Is(err, context.Canceled), errors.Is(err, context.DeadlineExceeded):
		panic(http.ErrAbortHandler)
	case err != nil:
		http.Error(w, err.Error(), http.StatusInternalServerError)
	default:
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(body)
	}
}
