package logservice

import (
	"net/http"
	"time"

	"github.com/skylarkweir/skylarkweir/weir/version/ledger"
)

// faultsBody replaces all faults; what is left out is switched off.
type faultsBody struct {
	Down          bool  `json:"down"`
	Silent        bool  `json:"silent"`
	DelayMS       int64 `json:"delay_ms"`
	LoseAnswers   bool  `json:"lose_answers"`
	RejectAppends bool  `json:"reject_appends"`
}

func (l *Log) setFaults(w http.ResponseWriter, r *http.Request) {
	b := faultsBody{}
	if !decode(w, r, &b) {
		return
	}

	l.mutex.Lock()
	l.faults = faults{b.Down, b.Silent, b.LoseAnswers, b.RejectAppends, time.Duration(max(b.DelayMS, 0)) * time.Millisecond}
	l.wake()
	l.mutex.Unlock()

	answer(w, http.StatusOK, b)
}

// trimBody drops records once. A field that is left out does not limit.
type trimBody struct {
	// Keep is the number of newest records that stay.
	Keep *int `json:"keep"`
	// MaxAgeMS drops older records.
	MaxAgeMS *int64 `json:"max_age_ms"`
}

func (l *Log) trim(w http.ResponseWriter, r *http.Request) {
	b := trimBody{}
	if !decode(w, r, &b) {
		return
	}

	l.mutex.Lock()
	n := 0

	if b.Keep != nil {
		n = max(n, len(l.records)-max(*b.Keep, 0))
	}

	if b.MaxAgeMS != nil {
		oldest := time.Now().Add(-time.Duration(*b.MaxAgeMS) * time.Millisecond)
		for n < len(l.records) && l.records[n].at.Before(oldest) {
			n++
		}
	}

	l.drop(n)
	a := firstBody{l.first}
	l.mutex.Unlock()

	answer(w, http.StatusOK, a)
}

type showAnswer struct {
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

func (l *Log) show(w http.ResponseWriter, _ *http.Request) {
	l.mutex.Lock()
	c := l.counts
	a := showAnswer{
		First: l.first, Next: l.first + int64(len(l.records)), Held: len(l.records),
		Appends: c.appends, Reads: c.reads, Rejected: c.rejected, Lost: c.lost, Refused: c.refused,
		RefusedAppends: c.refusedAppends, Types: make(map[string]int64, len(c.types)),
	}

	for _, e := range l.records {
		a.Bytes += len(e.data)
	}

	for t, n := range c.types {
		a.Types[t] = n
	}
	l.mutex.Unlock()

	answer(w, http.StatusOK, a)
}

// typeOf names the type of a record, for the counts only.
func typeOf(data []byte) string {
	b, err := ledger.Decode(data)
	if err != nil {
		return "other"
	}

	switch b.(type) {
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
