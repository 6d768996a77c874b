package logservice

import (
	"context"
	"time"

	"github.com/skylarkweir/skylarkweir/weir/request/fault"
	"github.com/skylarkweir/skylarkweir/weir/version/ledger"
)

// DefaultBudget is the number of appends/s of one process if none is set.
const DefaultBudget = 20

const (
	// maxBatch and maxBatchBytes bound one append.
	maxBatch      = 500
	maxBatchBytes = 1 << 20
	// maxFlying bounds the appends that are under way at once, so that a slow log is not flooded.
	maxFlying = 8
	// maxQueued bounds the records that wait for an append.
	maxQueued = 10_000
	// appendTimeout is far above the several ms of a healthy log and below the 2 s within which a caller is refused.
	appendTimeout = time.Second
)

// Appender appends records in batches, within a budget, and reads them back. Run is called once.
type Appender struct {
	client  *Client
	replica *ledger.Replica
	// interval is the time between two appends that the budget allows.
	interval time.Duration
	queue    chan *pending
	// flying holds one token for each append under way.
	flying chan struct{}
}

// pending is a record that waits to be read back.
type pending struct {
	ctx   context.Context
	data  []byte
	watch *ledger.Watch
	// refused is closed after err was set: the log said that it did not append the record.
	refused chan struct{}
	err     error
	// doubtful is true after a lost answer. It is used by one batch at a time.
	doubtful bool
}

// wanted tells whether somebody still waits and the record was not read back.
func (p *pending) wanted() bool {
	select {
	case <-p.watch.Done():
		return false
	default:
		return p.ctx.Err() == nil
	}
}

// NewAppender returns an appender that makes at most budget appends/s; zero means DefaultBudget. Records are read back
// through replica, which a Follower has to fill.
func NewAppender(client *Client, replica *ledger.Replica, budget int) *Appender {
	if budget <= 0 {
		budget = DefaultBudget
	}

	return &Appender{
		client: client, replica: replica, interval: time.Second / time.Duration(budget),
		queue: make(chan *pending, maxQueued), flying: make(chan struct{}, maxFlying),
	}
}

// Append appends the record and returns once it was read back through the replica. After an error the record may still
// take effect, unless Refused says otherwise. A record whose answer was lost is appended again only if the log was read
// past and repeating it is harmless.
func (a *Appender) Append(ctx context.Context, record []byte) error {
	if len(record) == 0 || len(record) > maxBatchBytes {
		return fault.New(fault.Internal, "append to the log: record of %d bytes, allowed are 1 to %d", len(record), maxBatchBytes)
	}

	p := &pending{ctx: ctx, data: record, watch: a.replica.Watch(record), refused: make(chan struct{})}
	defer p.watch.Stop()

	select {
	case a.queue <- p:
	default:
		return fault.Wrap(fault.LogUnavailable, errRefused, "%d records wait to be appended", maxQueued)
	}

	select {
	case <-p.watch.Done():
		return nil
	case <-p.refused:
		return p.err
	case <-ctx.Done():
		return fault.Wrap(fault.LogUnavailable, ctx.Err(), "record was not read back from the log")
	}
}

// Run appends until the context ends.
func (a *Appender) Run(ctx context.Context) {
	var carried *pending

	for {
		first := carried
		if first == nil {
			select {
			case <-ctx.Done():
				return
			case first = <-a.queue:
			}
		}

		select {
		case <-ctx.Done():
			return
		case a.flying <- struct{}{}:
		}

		b := &batch{appender: a}
		carried = b.fill(first)

		if len(b.pending) == 0 {
			<-a.flying

			continue
		}

		go b.run(ctx)
		pause(ctx, a.interval)
	}
}

// batch is one append.
type batch struct {
	appender *Appender
	pending  []*pending
}

// fill takes what waits and returns a record that does not fit any more.
func (b *batch) fill(p *pending) (carried *pending) {
	size := 0

	for {
		if p.wanted() {
			if size += len(p.data); size > maxBatchBytes {
				return p
			}

			b.pending = append(b.pending, p)
		}

		if len(b.pending) == maxBatch {
			return nil
		}

		select {
		case p = <-b.appender.queue:
		default:
			return nil
		}
	}
}

func (b *batch) run(ctx context.Context) {
	defer func() { <-b.appender.flying }()

	records := make([][]byte, 0, len(b.pending))
	for _, p := range b.pending {
		records = append(records, p.data)
	}

	attempt, cancel := context.WithTimeout(ctx, appendTimeout)
	_, err := b.appender.client.Append(attempt, records...)

	cancel()

	switch {
	case err == nil:
		return
	case Refused(err):
		b.refuse(err)

		return
	}

	if b.passed(ctx) {
		b.repeat()
	}
}

func (b *batch) refuse(err error) {
	for _, p := range b.pending {
		p.err = err
		if p.doubtful {
			// An earlier append of the record may still have taken effect, so this must not read as a refusal.
			p.err = fault.New(fault.LogUnavailable, "record was not read back from the log; then: %s", err)
		}

		close(p.refused)
	}
}

// passed returns true once the replica has read up to where the log ended after the failed append, and false if nobody
// waits any more.
func (b *batch) passed(ctx context.Context) bool {
	end, ok := b.end(ctx)
	if !ok {
		return false
	}

	for b.wanted(ctx) {
		changed := b.appender.replica.Changed()
		if b.appender.replica.State().LogPosition() >= end {
			return true
		}

		wake, cancel := context.WithTimeout(ctx, maxBackOff)
		select {
		case <-changed:
		case <-wake.Done():
		}

		cancel()
	}

	return false
}

// end asks the log for its end until it answers.
func (b *batch) end(ctx context.Context) (int64, bool) {
	for failures := 0; b.wanted(ctx); failures++ {
		pause(ctx, backOff(failures))

		from := b.appender.replica.State().LogPosition()

		p, err := b.appender.client.Read(ctx, from, 0, pageLimit)
		if err == nil && len(p.Records()) < pageLimit {
			return p.Next(), true
		}
	}

	return 0, false
}

func (b *batch) wanted(ctx context.Context) bool {
	if ctx.Err() != nil {
		return false
	}

	for _, p := range b.pending {
		if p.wanted() {
			return true
		}
	}

	return false
}

// repeat queues what was not read back and may be appended again; the caller's context bounds how often.
func (b *batch) repeat() {
	for _, p := range b.pending {
		if !p.wanted() || !ledger.IsIdempotent(p.data) {
			continue
		}

		p.doubtful = true

		select {
		case b.appender.queue <- p:
		default:
		}
	}
}
