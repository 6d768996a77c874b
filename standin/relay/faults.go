package relay

import "time"

// Faults are the faults that a relay injects into the traffic. The zero value injects none.
type Faults struct {
	delay                  time.Duration
	cutUp, cutDown, refuse bool
	duplicate, loss        float64
	dropAnswers            int
}

// WithDelay delays each direction by d.
func (f Faults) WithDelay(d time.Duration) Faults { f.delay = d; return f }

// WithCut blocks both directions. TCP data is held back until the cut ends; datagrams are dropped.
func (f Faults) WithCut() Faults { f.cutUp, f.cutDown = true, true; return f }

// WithCutUp blocks the direction from the client to the target.
func (f Faults) WithCutUp() Faults { f.cutUp = true; return f }

// WithCutDown blocks the direction from the target to the client.
func (f Faults) WithCutDown() Faults { f.cutDown = true; return f }

// WithRefuse closes new TCP connections at once.
func (f Faults) WithRefuse() Faults { f.refuse = true; return f }

// WithDuplicate sends this share of the datagrams, from 0 to 1, twice.
func (f Faults) WithDuplicate(share float64) Faults { f.duplicate = share; return f }

// WithLoss drops this share of the datagrams, from 0 to 1.
func (f Faults) WithLoss(share float64) Faults { f.loss = share; return f }

// WithDropAnswers drops the next n answers whose requests have reached the target. For TCP, the connection is closed
// when the answer begins; for UDP, the first datagram after a request is dropped.
func (f Faults) WithDropAnswers(n int) Faults { f.dropAnswers = n; return f }

// faultsBody is the JSON form of Faults.
type faultsBody struct {
	DelayMS     float64 `json:"delay_ms"`
	CutUp       bool    `json:"cut_up"`
	CutDown     bool    `json:"cut_down"`
	Refuse      bool    `json:"refuse"`
	Duplicate   float64 `json:"duplicate"`
	Loss        float64 `json:"loss"`
	DropAnswers int     `json:"drop_answers"`
}

func (f Faults) body() faultsBody {
	delay := float64(f.delay) / float64(time.Millisecond)

	return faultsBody{delay, f.cutUp, f.cutDown, f.refuse, f.duplicate, f.loss, f.dropAnswers}
}

func (b faultsBody) faults() Faults {
	delay := time.Duration(b.DelayMS * float64(time.Millisecond))

	return Faults{delay, b.CutUp, b.CutDown, b.Refuse, b.Duplicate, b.Loss, b.DropAnswers}
}
