package logservice

import (
	"context"
	"time"

	"github.com/skylarkweir/skylarkweir/weir/request/fault"
	"github.com/skylarkweir/skylarkweir/weir/version/ledger"
)

// DefaultAppendRate is the default limit of one process, in appends/s.
const DefaultAppendRate = 20

const (
	// maxBatchRecords and maxBatchBytes bound one append.
	maxBatchRecords = 500
	maxBatchBytes   = 1 << 20
	// maxActiveAppends bounds concurrent appends, so that a slow log service is not overloaded.
	maxActiveAppends = 8
	// maxQueuedRecords bounds the records that wait to be appended.
	maxQueuedRecords = 10_000
	// appendTimeout is far above the several ms that a healthy log takes, and below the 2 s within which a caller is
	// refused.
	appendTimeout = time.Second
)

// Appender appends records in batches at a limited rate and confirms each one by reading it back. Run is called once.
type Appender struct {
	client  *Client
	replica *ledger.Replica
	// interval is the minimum time between the starts of two appends.
	interval time.Duration
	queue    chan *pendingRecord
	// activeAppends is a semaphore that holds one token for each append in progress.
	activeAppends chan struct{}
}

// pendingRecord is a record that has not been read back yet.
type pendingRecord struct {
	ctx   context.Context
	data  []byte
	watch *ledger.Watch
	// refused is closed after err was set, once the log has answered that it did not append the record.
	refused chan struct{}
	err     error
	// answerLost is true if an earlier append of the record ended without an answer. Only one batch at a time uses it.
	answerLost bool
}

// isPending reports whether the caller still waits and the record has not been read back.
func (p *pendingRecord) isPending() bool {
	select {
	case <-p.watch.Done():
		return false
	default:
		return p.ctx.Err() == nil
	}
}

// NewAppender returns an appender with the given limit; zero means DefaultAppendRate. Records are read back through
// replica, which a Follower has to keep up to date.
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
// take effect, unless IsRefused reports otherwise. After a lost answer the record is appended again only if the replica
// has read the log to its end without finding it, and if the record is idempotent.
func (a *Appender) Append(ctx context.Context, record []byte) error {
	if len(record) == 0 || len(record) > maxBatchBytes {
		return fault.New(
			fault.Internal, "append to the log: record has %d bytes, allowed are 1 to %d", len(record), maxBatchBytes,
		)
	}

	p := &pendingRecord{ctx: ctx, data: record, watch: a.replica.Watch(record), refused: make(chan struct{})}
	defer p.watch.Stop()

	select {
	case a.queue <- p:
	default:
		return fault.Wrap(fault.LogUnavailable, errRefused, "append queue is full (%d records)", maxQueuedRecords)
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

// batch is a group of records that are appended in one call.
type batch struct {
	appender *Appender
	records  []*pendingRecord
}

// fill adds p and the queued records to the batch. It returns the first record that exceeds the limit in bytes, which
// belongs to the next batch.
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
			// An earlier append of the record may have taken effect, so the caller must not see this as a refusal.
			p.err = fault.New(
				fault.LogUnavailable, "record was not read back from the log; then the repeated append was refused: %s", err,
			)
		}

		close(p.refused)
	}
}

// awaitLogEnd returns true once the replica has read up to the end that the log had after the failed append, and false
// if no caller waits any more.
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

// logEnd returns the offset after the log's last record. It retries until the log answers or no caller waits any more.
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

// requeue queues those idempotent records for another append that were not read back. The callers' contexts bound the
// number of retries.
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
