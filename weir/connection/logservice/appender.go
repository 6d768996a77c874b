package logservice

import (
	"context"
	"time"

	"github.com/skylarkweir/skylarkweir/weir/request/fault"
	"github.com/skylarkweir/skylarkweir/weir/version/ledger"
)

// DefaultBudget is the number of appends/s of one process if none is set.
const DefaultAppendRate = 20

const (
	// maxBatch and maxBatchBytes bound one append.
	maxBatchRecords = 500
	maxBatchBytes   = 1 << 20
	// maxFlying bounds the appends that are under way at once, so that a slow log is not flooded.
	maxActiveAppends = 8
	// maxQueued bounds the records that wait for an append.
	maxQueuedRecords = 10_000
	// appendTimeout is far above the several ms of a healthy log and below the 2 s within which a caller is refused.
	appendTimeout = time.Second
)

// Appender appends records in batches, within a budget, and reads them back. Run is called once.
type Appender struct {
	client  *Client
	replica *ledger.Replica
	// interval is the time between two appends that the budget allows.
	interval time.Duration
	queue    chan *pendingRecord
	// flying holds one token for each append under way.
	activeAppends chan struct{}
}

// pending is a record that waits to be read back.
type pendingRecord struct {
	ctx   context.Context
	data  []byte
	watch *ledger.Watch
	// refused is closed after err was set: the log said that it did not append the record.
	refused chan struct{}
	err     error
	// doubtful is true after a lost answer. It is used by one batch at a time.
	answerLost bool
}

// wanted tells whether somebody still waits and the record was not read back.
func (p *pendingRecord) isPending() bool {
	select {
	case <-p.watch.Done():
		return false
	default:
		return p.ctx.Err() == nil
	}
}

// NewAppender returns an appender that makes at most budget appends/s; zero means DefaultBudget. Records are read back
// through replica, which a Follower has to fill.
func NewAppender(client *Client, replica *ledger.Replica, appendsPerSecond int) *Appender {
	if appendsPerSecond <= 0 {
		appendsPerSecond = DefaultAppendRate
	}

	return &Appender{
		client: client, replica: replica, interval: time.Second / time.Duration(appendsPerSecond),
		queue: make(chan *pendingRecord, maxQueuedRecords), activeAppends: make(chan struct{}, maxActiveAppends),
	}
}

// Append appends the record and returns once it was read back through the replica. After an error the record may still
// take effect, unless Refused says otherwise. A record whose answer was lost is appended again only if the log was read
// past and repeating it is harmless.
func (a *Appender) Append(ctx context.Context, record []byte) error {
	if len(record) == 0 || len(record) > maxBatchBytes {
		return fault.New(fault.Internal, "append to the log: record of %d bytes, allowed are 1 to %d", len(record), maxBatchBytes)
	}

	p := &pendingRecord{ctx: ctx, data: record, watch: a.replica.Watch(record), refused: make(chan struct{})}
	defer p.watch.Stop()

	select {
	case a.queue <- p:
	default:
		return fault.Wrap(fault.LogUnavailable, errRefused, "%d records wait to be appended", maxQueuedRecords)
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
	var leftover *pendingRecord

	for {
		first := leftover
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
		case a.activeAppends <- struct{}{}:
		}

		b := &batch{appender: a}
		leftover = b.fill(first)

		if len(b.records) == 0 {
			<-a.activeAppends

			continue
		}

		go b.run(ctx)
		sleep(ctx, a.interval)
	}
}

// batch is one append.
type batch struct {
	appender *Appender
	records  []*pendingRecord
}

// fill takes what waits and returns a record that does not fit any more.
func (b *batch) fill(p *pendingRecord) (leftover *pendingRecord) {
	size := 0

	for {
		if p.isPending() {
			if size += len(p.data); size > maxBatchBytes {
				return p
			}

			b.records = append(b.records, p)
		}

		if len(b.records) == maxBatchRecords {
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
	defer func() { <-b.appender.activeAppends }()

	records := make([][]byte, 0, len(b.records))
	for _, p := range b.records {
		records = append(records, p.data)
	}

	appendCtx, cancel := context.WithTimeout(ctx, appendTimeout)
	_, err := b.appender.client.Append(appendCtx, records...)

	cancel()

	switch {
	case err == nil:
		return
	case IsRefused(err):
		b.refuse(err)

		return
	}

	if b.awaitLogEnd(ctx) {
		b.requeue()
	}
}

func (b *batch) refuse(err error) {
	for _, p := range b.records {
		p.err = err
		if p.answerLost {
			// An earlier append of the record may still have taken effect, so this must not read as a refusal.
			p.err = fault.New(fault.LogUnavailable, "record was not read back from the log; then: %s", err)
		}

		close(p.refused)
	}
}

// passed returns true once the replica has read up to where the log ended after the failed append, and false if nobody
// waits any more.
func (b *batch) awaitLogEnd(ctx context.Context) bool {
	end, ok := b.logEnd(ctx)
	if !ok {
		return false
	}

	for b.hasPending(ctx) {
		changed := b.appender.replica.Changed()
		if b.appender.replica.State().LogPosition() >= end {
			return true
		}

		waitCtx, cancel := context.WithTimeout(ctx, maxBackoff)
		select {
		case <-changed:
		case <-waitCtx.Done():
		}

		cancel()
	}

	return false
}

// end asks the log for its end until it answers.
func (b *batch) logEnd(ctx context.Context) (int64, bool) {
	for failures := 0; b.hasPending(ctx); failures++ {
		sleep(ctx, backoff(failures))

		from := b.appender.replica.State().LogPosition()

		p, err := b.appender.client.Read(ctx, from, 0, pageLimit)
		if err == nil && len(p.Records()) < pageLimit {
			return p.Next(), true
		}
	}

	return 0, false
}

func (b *batch) hasPending(ctx context.Context) bool {
	if ctx.Err() != nil {
		return false
	}

	for _, p := range b.records {
		if p.isPending() {
			return true
		}
	}

	return false
}

// repeat queues what was not read back and may be appended again; the caller's context bounds how often.
func (b *batch) requeue() {
	for _, p := range b.records {
		if !p.isPending() || !ledger.IsIdempotent(p.data) {
			continue
		}

		p.answerLost = true

		select {
		case b.appender.queue <- p:
		default:
		}
	}
}
