package relay

import "time"

// Faults is what a relay does to the traffic that it forwards. The zero value forwards faithfully.
type Faults struct {
	delay                  time.Duration
	cutUp, cutDown, refuse bool
	duplicate, loss        float64
	dropAnswers            int
}

// WithDelay delays each direction by d.
func (f Faults) WithDelay(d time.Duration) Faults { f.delay = d; return f }

// WithCut lets nothing pass in either direction; TCP data waits for the end of the cut, datagrams are lost.
func (f Faults) WithCut() Faults { f.cutUp, f.cutDown = true, true; return f }

// WithCutUp lets nothing pass from the client to the target.
func (f Faults) WithCutUp() Faults { f.cutUp = true; return f }

// WithCutDown lets nothing pass from the target to the client.
func (f Faults) WithCutDown() Faults { f.cutDown = true; return f }

// WithRefuse closes new TCP connections at once.
func (f Faults) WithRefuse() Faults { f.refuse = true; return f }

// WithDuplicate sends this share of the datagrams twice.
func (f Faults) WithDuplicate(share float64) Faults { f.duplicate = share; return f }

// WithLoss drops this share of the datagrams.
func (f Faults) WithLoss(share float64) Faults { f.loss = share; return f }

// WithDropAnswers drops the next n answers after their requests have passed. For TCP the connection is closed
// when the answer begins; for UDP the datagram is lost.
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
