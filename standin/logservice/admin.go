package logservice

import (
	"net/http"
	"time"

	"github.com/skylarkweir/skylarkweir/weir/version/ledger"
)

// faultsRequest replaces all faults; a fault that is left out is switched off.
type faultsRequest struct {
	Down          bool  `json:"down"`
	Silent        bool  `json:"silent"`
	DelayMS       int64 `json:"delay_ms"`
	LoseAnswers   bool  `json:"lose_answers"`
	RejectAppends bool  `json:"reject_appends"`
}

func (l *Log) serveFaults(w http.ResponseWriter, r *http.Request) {
	request := faultsRequest{}
	if !decode(w, r, &request) {
		return
	}

	l.mutex.Lock()
	l.faults = faults{
		request.Down, request.Silent, request.LoseAnswers, request.RejectAppends,
		time.Duration(max(request.DelayMS, 0)) * time.Millisecond,
	}
	l.signalChange()
	l.mutex.Unlock()

	writeResponse(w, http.StatusOK, request)
}

// trimRequest drops the oldest records once. A field that is left out drops none.
type trimRequest struct {
	// Keep is the number of newest records that stay.
	Keep *int `json:"keep"`
	// MaxAgeMS is the age above which records are dropped.
	MaxAgeMS *int64 `json:"max_age_ms"`
}

func (l *Log) serveTrim(w http.ResponseWriter, r *http.Request) {
	request := trimRequest{}
	if !decode(w, r, &request) {
		return
	}

	l.mutex.Lock()
	dropped := 0

	if request.Keep != nil {
		dropped = max(dropped, len(l.records)-max(*request.Keep, 0))
	}

	if request.MaxAgeMS != nil {
		oldest := time.Now().Add(-time.Duration(*request.MaxAgeMS) * time.Millisecond)
		for dropped < len(l.records) && l.records[dropped].appendedAt.Before(oldest) {
			dropped++
		}
	}

	l.dropOldest(dropped)
	response := firstResponse{l.first}
	l.mutex.Unlock()

	writeResponse(w, http.StatusOK, response)
}

type recordsResponse struct {
	First          int64            `json:"first"`
	Next           int64            `json:"next"`
	Held           int              `json:"held"`
	Bytes          int              `json:"bytes"`
	Appends        int64            `json:"appends"`
	Reads          int64            `json:"reads"`
	Rejected       int64            `json:"rejected"`
	Lost           int64            `json:"lost"`
	Refused        int64            `json:"refused"`
	RefusedAppends int64            `json:"refused_appends"`
	Types          map[string]int64 `json:"types"`
}

func (l *Log) serveRecords(w http.ResponseWriter, _ *http.Request) {
	l.mutex.Lock()
	c := l.counts
	response := recordsResponse{
		First: l.first, Next: l.first + int64(len(l.records)), Held: len(l.records),
		Appends: c.appends, Reads: c.reads, Rejected: c.rejectedAppends, Lost: c.lostAnswers, Refused: c.refusedCalls,
		RefusedAppends: c.refusedAppends, Types: make(map[string]int64, len(c.recordTypes)),
	}

	for _, r := range l.records {
		response.Bytes += len(r.data)
	}

	for t, n := range c.recordTypes {
		response.Types[t] = n
	}
	l.mutex.Unlock()

	writeResponse(w, http.StatusOK, response)
}

// recordType returns the name of a record's type. It serves only the counts.
func recordType(data []byte) string {
	decoded, err := ledger.Decode(data)
	if err != nil {
		return "other"
	}

	switch decoded.(type) {
	case ledger.Publication:
		return "publication"
	case ledger.WorkerJoined:
		return "worker_joined"
	case ledger.WorkerLeft:
		return "worker_left"
	case ledger.EntryJoined:
		return "entry_joined"
	case ledger.EntryLeft:
		return "entry_left"
	case ledger.Binding:
		return "binding"
	case ledger.Snapshot:
		return "snapshot"
	default:
		return "other"
	}
}
