package logservice

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/skylarkweir/skylarkweir/weir/version/ledger"
)

// DefaultRetention is the log's retention if none is set.
const DefaultRetention = time.Hour

const (
	// pollWait is the time for which the log holds a read open. Healthy detects an unresponsive log after pollWait plus
	// readTimeoutMargin.
	pollWait = 2 * time.Second
	// pageLimit bounds the records of one read.
	pageLimit = 1000

	minBackoff = 50 * time.Millisecond
	maxBackoff = 2 * time.Second

	snapshotTimeout = 5 * time.Second
)

// Follower keeps a replica up to date with the log by long polling. Run is called once.
type Follower struct {
	client  *Client
	replica *ledger.Replica
	// retention is how long the log keeps records.
	retention time.Duration
	log       zerolog.Logger

	// lastAnswer is the time of the log's latest answer, in ns since startTime; zero means that the latest read failed or
	// none has been answered yet.
	lastAnswer atomic.Int64
	startTime  time.Time
	// readFrom is the offset to read next. It is ahead of the replica if the log has dropped records before it.
	readFrom int64
	// caughtUp is set once the log was read to its end for the first time.
	caughtUp        bool
	failures        int
	reportedSkipped int64
	snapshot        snapshotTimer
	// answered is called after each answer that was applied, nil if nobody needs that.
	answered func()
}

// NewFollower returns a follower that updates replica. A retention of zero means DefaultRetention.
func NewFollower(client *Client, replica *ledger.Replica, retention time.Duration, log zerolog.Logger) *Follower {
	if retention <= 0 {
		retention = DefaultRetention
	}

	return &Follower{client: client, replica: replica, retention: retention, log: log, startTime: time.Now()}
}

// WithAnswered calls a function after each read that was answered and applied to the replica. It must be called before Run.
func (f *Follower) WithAnswered(answered func()) *Follower {
	f.answered = answered

	return f
}

// Healthy reports whether the log answered the latest read and within pollWait plus readTimeoutMargin.
func (f *Follower) Healthy() bool {
	lastAnswer := f.lastAnswer.Load()

	return lastAnswer > 0 && time.Since(f.startTime)-time.Duration(lastAnswer) < pollWait+readTimeoutMargin
}

// Run reads the log until the context ends.
func (f *Follower) Run(ctx context.Context) {
	f.replica.BeginLoad()

	for ctx.Err() == nil {
		err := f.read(ctx)

		switch {
		case err == nil:
			f.clearFailures()
			f.appendSnapshotIfDue(ctx)
		case ctx.Err() == nil:
			f.handleFailure(ctx, err)
		}
	}
}

func (f *Follower) read(ctx context.Context) error {
	wait := pollWait
	if !f.caughtUp {
		wait = 0
	}

	f.readFrom = max(f.readFrom, f.replica.State().LogPosition())

	p, err := f.client.Read(ctx, f.readFrom, wait, pageLimit)

	var truncated *TruncatedError
	if errors.As(err, &truncated) && truncated.First() > f.readFrom {
		f.log.Warn().Str("event", "log_truncated").Int64("position", f.readFrom).Int64("first", truncated.First()).
			Msg("the log dropped records before they were read; reading on from the first one that it holds")

		f.readFrom = truncated.First()
		f.recordAnswer()

		return nil
	}

	if err != nil {
		return err
	}

	f.recordAnswer()
	f.replica.ApplyLog(p.Records(), p.Next())
	f.reportSkipped()
	f.endLoad(p)

	if f.answered != nil && len(p.Records()) < pageLimit {
		f.answered()
	}

	return nil
}

// endLoad ends the load of the replica with the first page that reaches the end of the log.
func (f *Follower) endLoad(p Page) {
	if len(p.Records()) < pageLimit && !f.caughtUp {
		f.caughtUp = true
		f.replica.EndLoad()

		if s := f.replica.State(); !s.Complete() {
			f.log.Error().Str("event", "log_incomplete").Int64("first", p.First()).Int64("position", s.Position()).
				Msg("the log holds no snapshot to start from; waiting for the state from another process")
		}
	}
}

func (f *Follower) recordAnswer() {
	f.lastAnswer.Store(int64(time.Since(f.startTime)) + 1)
}

func (f *Follower) handleFailure(ctx context.Context, err error) {
	if f.failures == 0 {
		f.log.Warn().Str("event", "log_unanswered").Err(err).Msg("the log does not answer; retrying with backoff")
	}

	f.lastAnswer.Store(0)
	sleep(ctx, backoff(f.failures))
	f.failures++
}

func (f *Follower) clearFailures() {
	if f.failures > 0 {
		f.log.Info().Str("event", "log_answers").Int("failures", f.failures).Msg("the log answers again")
	}

	f.failures = 0
}

func (f *Follower) reportSkipped() {
	s := f.replica.State()
	if s.SkippedRecords() > f.reportedSkipped {
		f.log.Error().Str("event", "records_skipped").Int64("skipped", s.SkippedRecords()-f.reportedSkipped).
			Int64("position", s.LogPosition()).
			Msg("skipped log records that cannot be decoded")

		f.reportedSkipped = s.SkippedRecords()
	}
}

// appendSnapshotIfDue appends a snapshot if the newest one is too old, so that the log keeps one that new processes can
// start from.
func (f *Follower) appendSnapshotIfDue(ctx context.Context) {
	s := f.replica.State()
	if !f.caughtUp || !s.Complete() || s.Position() == 0 || !f.snapshot.due(s, f.retention) {
		return
	}

	ctx, cancel := context.WithTimeout(ctx, snapshotTimeout)
	defer cancel()

	// After a lost answer the snapshot is either read back, which resets the timer, or appended again later.
	if _, err := f.client.Append(ctx, ledger.SnapshotRecord(s)); err != nil {
		f.log.Warn().Str("event", "snapshot_unconfirmed").Err(err).
			Msg("the append of a snapshot failed or was not answered; appending one again later unless it is read back")
	}

	f.snapshot.restart(f.retention)
}

// snapshotTimer decides when a snapshot is due. It determines the age of the newest one both from the log's timestamps
// and from the process's monotonic clock: the log's time does not advance without records, and the wall clocks of
// processes differ.
type snapshotTimer struct {
	newestTime time.Time
	// noticedAt is when this process read the newest snapshot or last tried to append one.
	noticedAt time.Time
	// maxAge is a quarter of the retention, less a random part so that few entries append a snapshot at the same time.
	maxAge time.Duration
}

func (t *snapshotTimer) due(s *ledger.State, retention time.Duration) bool {
	newest, ok := s.SnapshotTime()
	if !ok {
		return false
	}

	if !newest.Equal(t.newestTime) || t.maxAge == 0 {
		t.newestTime = newest
		t.restart(retention)
	}

	return max(s.LogTime().Sub(newest), time.Since(t.noticedAt)) > t.maxAge && time.Since(t.noticedAt) > t.maxAge/8
}

func (t *snapshotTimer) restart(retention time.Duration) {
	quarter := retention / 4
	t.noticedAt = time.Now()
	t.maxAge = quarter - rand.N(quarter/4+1)
}

func backoff(failures int) time.Duration {
	d := min(minBackoff<<min(failures, 10), maxBackoff)

	return d/2 + rand.N(d/2+1)
}

func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()

	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
