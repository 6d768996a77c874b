// Package binding ties keys that callers choose to tickets, by records in the log.
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
	// appendWait is how long a caller waits for its binding before it is refused with log_unavailable.
	appendTimeout = 1900 * time.Millisecond
	// maxAhead is how far the time of a key may lie in the future.
	maxClockSkew = 10 * time.Second
	// nonceSize makes equal nonces of two bindings practically impossible.
	nonceBytes = 16
	// keyVersion is the version of UUIDs that hold a time.
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
//     proposed in a binding record is not used, or told to anybody, before the ledger names it.
//   - The ledger names the first binding in log order, on every entry. The home of that ticket starts the submission
//     once, since the home's table takes each ticket once.
//   - A caller whose binding was not read back in time is refused, and nothing was started for that request. The
//     record may still land and win. This entry is then home of a ticket that it has not used, and the next
//     submission with the key, at any entry, reads the binding and enters the submission at this home as new.
//   - A caller that tries again here before the record lands proposes another ticket. Whichever record is first in
//     the log wins, and the other ticket is never used.
//   - A key may be bound only while the ledger holds every binding that the key can have. Keys are therefore refused
//     once they are older than the lifetime, and until the ledger has read the log back that far.
//
// A refusal states that it is unknown what ran: another entry may have bound the key just before, and a record of this
// one may still land, so that a copy of the request that was delayed runs.
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
	// done is closed once err is set; nil means that the ledger names a ticket for the key.
	done chan struct{}
	err  error
}

// NewBinder returns a binder for keys of at most the given age.
func NewBinder(issuer Issuer, appender Appender, replica *ledger.Replica, keyLifetime time.Duration, log zerolog.Logger) *Binder {
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

func (b *Binder) bind(ctx context.Context, n boundKey) (string, error) {
	s := b.replica.State()
	if !b.hasAllBindings(s) {
		return "", fault.New(fault.LogUnavailable, "the log has not been read back to the lifetime of keys yet")
	}

	if id, bound := s.Binding(n.member, n.key); bound {
		return id, nil
	}

	p, err := b.propose(ctx, n)
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

	// Records may have been dropped from the log before they were read, and an earlier binding with them.
	s = b.replica.State()

	id, bound := s.Binding(n.member, n.key)
	if !bound || !b.hasAllBindings(s) {
		return "", fault.New(fault.LogUnavailable, "the binding of the key was not read back")
	}

	return id, nil
}

// Leave refuses to bind further keys. Keys that are bound still lead to their tickets.
func (b *Binder) Leave() {
	b.mu.Lock()
	defer b.mu.Unlock()

	b.leaving = true
}

func (b *Binder) validate(key uuid.UUID, now time.Time) error {
	if key.Version() != keyUUIDVersion || key.Variant() != uuid.RFC4122 {
		return fault.New(fault.InvalidRequest, "the key %s holds no time, a UUID of version 7 is allowed", key)
	}

	at := keyTime(key)

	switch {
	case at.After(now.Add(maxClockSkew)):
		return fault.New(fault.InvalidRequest, "the time of the key is %s, at most %s ahead of %s is allowed",
			at.UTC().Format(time.RFC3339Nano), maxClockSkew, now.UTC().Format(time.RFC3339Nano))
	case at.Before(now.Add(-b.keyLifetime)):
		return fault.New(fault.KeyExpired, "the time of the key is %s, at most %s ago is allowed",
			at.UTC().Format(time.RFC3339Nano), b.keyLifetime)
	default:
		return nil
	}
}

// complete tells whether the state holds every binding that an accepted key can have. A key may be bound maxAhead
// before its own time.
func (b *Binder) hasAllBindings(s *ledger.State) bool {
	since, known := s.BindingsCompleteSince()

	return known && (since.IsZero() || since.Before(time.Now().Add(-b.keyLifetime-maxClockSkew)))
}

// keyTime returns the milliseconds since the Unix epoch in the first 48 bits.
func keyTime(key uuid.UUID) time.Time {
	var ms int64
	for _, v := range key[:6] {
		ms = ms<<8 | int64(v)
	}

	return time.UnixMilli(ms)
}

func (b *Binder) propose(ctx context.Context, n boundKey) (*proposal, error) {
	b.mu.Lock()
	defer b.mu.Unlock()

	if p, found := b.pending[n]; found {
		return p, nil
	}

	if b.leaving {
		return nil, fault.New(fault.Leaving, "the entry is leaving")
	}

	p := &proposal{done: make(chan struct{})}
	b.pending[n] = p

	go b.appendProposal(context.WithoutCancel(ctx), n, p)

	return p, nil
}

// run appends the record of one proposal and waits until the ledger has it.
func (b *Binder) appendProposal(ctx context.Context, n boundKey, p *proposal) {
	ctx, stop := context.WithTimeout(ctx, appendTimeout)
	defer stop()

	nonce := make([]byte, nonceBytes)
	_, _ = rand.Read(nonce)

	id, _ := b.issuer.Issue(n.member)

	err := b.appender.Append(ctx, ledger.BindingRecord(n.member, n.key, id, nonce))
	if err != nil {
		b.log.Warn().Str("event", "binding_failed").Str("member", n.member).Str("key", n.key).Err(err).
			Msg("the binding of a key was not read back")

		p.err = fault.Wrap(fault.LogUnavailable, err, "bind the key")
	}

	b.mu.Lock()
	delete(b.pending, n)
	b.mu.Unlock()
	close(p.done)
}
