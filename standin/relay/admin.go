package relay

import (
	"encoding/json"
	"net/http"

	"github.com/gorilla/mux"
)

// maxBodyBytes bounds the body of a request to the admin endpoint.
const maxBodyBytes = 4096

// countsBody is the JSON form of the counters.
type countsBody struct {
	Up   int64 `json:"up"`
	Down int64 `json:"down"`
	Lost int64 `json:"lost"`
}

// Handler returns the admin endpoint. GET and PUT /v1/faults read and replace the faults, with ?client= those of the
// clients on one host; DELETE /v1/faults clears all faults, POST /v1/break closes the connections, GET /v1/counts returns
// the counters.
func (r *Relay) Handler() http.Handler {
	m := mux.NewRouter()
	m.HandleFunc("/v1/faults", r.getFaults).Methods(http.MethodGet)
	m.HandleFunc("/v1/faults", r.putFaults).Methods(http.MethodPut)
	m.HandleFunc("/v1/faults", r.deleteFaults).Methods(http.MethodDelete)
	m.HandleFunc("/v1/break", r.postBreak).Methods(http.MethodPost)
	m.HandleFunc("/v1/counts", r.getCounts).Methods(http.MethodGet)

	return m
}

func (r *Relay) getFaults(w http.ResponseWriter, q *http.Request) {
	f, _ := r.faultsOf(q.URL.Query().Get("client"))
	writeJSON(w, f.body())
}

func (r *Relay) putFaults(w http.ResponseWriter, q *http.Request) {
	d := json.NewDecoder(http.MaxBytesReader(w, q.Body, maxBodyBytes))
	d.DisallowUnknownFields()

	var b faultsBody
	if err := d.Decode(&b); err != nil {
		http.Error(w, "faults: "+err.Error(), http.StatusBadRequest)

		return
	}

	if client := q.URL.Query().Get("client"); client != "" {
		r.SetClientFaults(client, b.faults())
	} else {
		r.SetFaults(b.faults())
	}

	writeJSON(w, b)
}

func (r *Relay) deleteFaults(w http.ResponseWriter, _ *http.Request) {
	r.ClearFaults()
	w.WriteHeader(http.StatusNoContent)
}

func (r *Relay) postBreak(w http.ResponseWriter, _ *http.Request) {
	r.CloseConnections()
	w.WriteHeader(http.StatusNoContent)
}

func (r *Relay) getCounts(w http.ResponseWriter, _ *http.Request) {
	up, down, lost := r.Counts()
	writeJSON(w, countsBody{up, down, lost})
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
