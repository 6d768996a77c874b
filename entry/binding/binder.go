// Package binding binds keys that callers choose to tickets, by records in the log.
package binding

import (
	"context"
	"crypto/rand"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/rs/zerolog"

	"github.com/skylarkweir/skylarkweir/weir/request/fault"
	"github.com/skylarkweir/skylarkweir/weir/request/ticket"
	"github.com/skylarkweir/skylarkweir/weir/version/ledger"
)

const (
	// appendTimeout is how long a caller waits for its binding before it is refused with log_unavailable.
	appendTimeout = 1900 * time.Millisecond
	// maxClockSkew is how far the time of a key may lie in the future.
	maxClockSkew = 10 * time.Second
	// nonceBytes is large enough that two bindings practically never have the same nonce.
	nonceBytes = 16
	// keyUUIDVersion is the version of UUIDs that contain a time.
	keyUUIDVersion = 7
)

// Appender appends records to the log.
type Appender interface {
	// Append returns nil once the record was read back through the ledger.
	Append(ctx context.Context, record []byte) error
}

// Issuer issues the tickets that keys are bound to.
type Issuer interface {
	Issue(member string) (string, ticket.Ticket)
}

// Binder binds keys to tickets. It follows these rules, from which it follows that a key leads to one submission:
//
//   - A submission with a key is started only under the ticket that the ledger names for the key. A ticket that was
//     proposed in a binding record is not used, or returned to a caller, before the ledger names it.
//   - The ledger names the first binding in log order, on every entry. The home of that ticket starts the submission
//     once, since the home's table accepts each ticket once.
//   - A caller whose binding was not read back in time is refused, and nothing was started for that request. The
//     record may still be appended later and be the first for its key. This entry is then home of a ticket that it has
//     not used, and the next submission with the key, at any entry, reads the binding and enters the submission at this
//     home as new.
//   - A caller that retries at this entry before the record is appended proposes another ticket. The first record in
//     the log takes effect, and the other ticket is never used.
//   - A key may be bound only while the ledger holds every binding that the key can have. Keys are therefore refused
//     once they are older than the lifetime, and until the ledger has read the log back that far.
//
// A refusal states that it is unknown what ran. Another entry may have bound the key just before, and the record of this
// entry may still be appended, after which a delayed copy of the request can run.
type Binder struct {
	issuer      Issuer
	appender    Appender
	replica     *ledger.Replica
	keyLifetime time.Duration
	log         zerolog.Logger

	mu sync.Mutex
	// pending holds the bindings whose record was not read back yet, so that concurrent requests share one record.
	pending map[boundKey]*proposal
	// leaving is set once this entry must not become home of further submissions.
	leaving bool
}

type boundKey struct{ member, key string }

// proposal is a binding record on its way to the log.
type proposal struct {
	// done is closed once err is set. A nil err means that the ledger names a ticket for the key.
	done chan struct{}
	err  error
}

// NewBinder returns a binder that accepts keys up to the age of keyLifetime.
func NewBinder(
	issuer Issuer, appender Appender, replica *ledger.Replica, keyLifetime time.Duration, log zerolog.Logger,
) *Binder {
	return &Binder{
		issuer: issuer, appender: appender, replica: replica, keyLifetime: keyLifetime, log: log, pending: map[boundKey]*proposal{},
	}
}

// Bind returns the ticket that the key of the member is bound to, and binds it to a new one if there is none.
func (b *Binder) Bind(ctx context.Context, member string, key uuid.UUID) (string, error) {
	if err := b.validate(key, time.Now()); err != nil {
		return "", err
	}

	id, err := b.bind(ctx, boundKey{member, key.String()})

	return id, fault.WithRan(err, fault.RanUnknown)
}

func (b *Binder) bind(ctx context.Context, k boundKey) (string, error) {
	s := b.replica.State()
	if !b.hasAllBindings(s) {
		return "", fault.New(fault.LogUnavailable, "the entry has not yet read the log back over the whole key lifetime")
	}

	if id, bound := s.Binding(k.member, k.key); bound {
		return id, nil
	}

	p, err := b.propose(ctx, k)
	if err != nil {
		return "", err
	}

	select {
	case <-p.done:
	case <-ctx.Done():
		return "", fault.Wrap(fault.LogUnavailable, ctx.Err(), "bind the key")
	}

	if p.err != nil {
		return "", p.err
	}

	// The log may have dropped records before this entry read them, and an earlier binding of the key with them.
	s = b.replica.State()

	id, bound := s.Binding(k.member, k.key)
	if !bound || !b.hasAllBindings(s) {
		return "", fault.New(fault.LogUnavailable, "the binding of the key was not read back from the log")
	}

	return id, nil
}

// Leave makes the binder refuse to bind further keys. Bind still returns the tickets of keys that are bound.
func (b *Binder) Leave() {
	b.mu.Lock()
	defer b.mu.Unlock()

	b.leaving = true
}

func (b *Binder) validate(key uuid.UUID, now time.Time) error {
	if key.Version() != keyUUIDVersion || key.Variant() != uuid.RFC4122 {
		return fault.New(fault.InvalidRequest, "the key %s is not a UUID of version 7", key)
	}

	at := keyTime(key)

	switch {
	case at.After(now.Add(maxClockSkew)):
		// An entry whose clock is ahead may have bound the key.
		return fault.WithRan(fault.New(
			fault.InvalidRequest, "the time of the key is %s, which is more than %s after the time of the entry, %s",
			at.UTC().Format(time.RFC3339Nano), maxClockSkew, now.UTC().Format(time.RFC3339Nano)), fault.RanUnknown)
	case at.Before(now.Add(-b.keyLifetime)):
		return fault.New(fault.KeyExpired, "the time of the key is %s, which is more than %s ago",
			at.UTC().Format(time.RFC3339Nano), b.keyLifetime)
	default:
		return nil
	}
}

// hasAllBindings reports whether the state holds every binding that an accepted key can have. A key may be bound up to
// maxClockSkew before its own time.
func (b *Binder) hasAllBindings(s *ledger.State) bool {
	since, known := s.BindingsCompleteSince()

	return known && (since.IsZero() || since.Before(time.Now().Add(-b.keyLifetime-maxClockSkew)))
}

// keyTime returns the time in the first 48 bits of the key, which hold milliseconds since the Unix epoch.
func keyTime(key uuid.UUID) time.Time {
	var ms int64
	for _, v := range key[:6] {
		ms = ms<<8 | int64(v)
	}

	return time.UnixMilli(ms)
}

func (b *Binder) propose(ctx context.Context, k boundKey) (*proposal, error) {
	b.mu.Lock()
	defer b.mu.Unlock()

	if p, found := b.pending[k]; found {
		return p, nil
	}

	if b.leaving {
		return nil, fault.New(fault.Leaving, "the entry is leaving")
	}

	p := &proposal{done: make(chan struct{})}
	b.pending[k] = p

	go b.appendProposal(context.WithoutCancel(ctx), k, p)

	return p, nil
}

// appendProposal appends the record of one proposal and waits until it was read back.
func (b *Binder) appendProposal(ctx context.Context, k boundKey, p *proposal) {
	ctx, stop := context.WithTimeout(ctx, appendTimeout)
	defer stop()

	nonce := make([]byte, nonceBytes)
	_, _ = rand.Read(nonce)

	id, _ := b.issuer.Issue(k.member)

	err := b.appender.Append(ctx, ledger.BindingRecord(k.member, k.key, id, nonce))
	if err != nil {
		b.log.Warn().Str("event", "binding_failed").Str("member", k.member).Str("key", k.key).Err(err).
			Msg("binding record was not read back from the log; refusing the requests that wait for it")

		p.err = fault.Wrap(fault.LogUnavailable, err, "bind the key")
	}

	b.mu.Lock()
	delete(b.pending, k)
	b.mu.Unlock()
	close(p.done)
}
