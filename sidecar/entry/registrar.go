package entry

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/rs/zerolog"

	"github.com/skylarkweir/skylarkweir/weir/connection/wire"
	"github.com/skylarkweir/skylarkweir/weir/version/ledger"
)

const (
	// registerTimeout bounds one attempt, in which the entry appends a record and reads it back.
	registerTimeout = 10 * time.Second
	// registerWait is the time for which the record is awaited here after an entry has confirmed it.
	registerWait = 5 * time.Second

	firstRegisterBackOff = 200 * time.Millisecond
	lastRegisterBackOff  = 5 * time.Second
	lastingRegistration  = time.Minute
)

// Registrar keeps the sidecar registered in the log, through one entry at a time.
type Registrar struct {
	links    *Links
	identity *Identity
	book     *ledger.Book
	log      zerolog.Logger
	// registered is true once this incarnation was seen in the state.
	registered bool
	// since is the time at which it was seen.
	since   time.Time
	backOff time.Duration
	leaving atomic.Bool
}

// NewRegistrar returns a registrar.
func NewRegistrar(l *Links, i *Identity, b *ledger.Book, log zerolog.Logger) *Registrar {
	return &Registrar{links: l, identity: i, book: b, log: log, backOff: firstRegisterBackOff}
}

// Leave ends the registrations: the record of the departure must not bring back a sidecar that finishes its tasks.
func (r *Registrar) Leave() { r.leaving.Store(true) }

// Loop registers the sidecar, and again as a new incarnation when it was declared lost or replaced, until ctx ends.
func (r *Registrar) Loop(ctx context.Context) {
	for ctx.Err() == nil {
		amended := r.book.Amended()
		state := r.book.State()
		offset, registered := state.Registered(r.identity.Name(), r.identity.Incarnation())

		switch {
		case r.leaving.Load():
			return
		case registered && !r.registered:
			r.registered, r.since = true, time.Now()
			r.log.Info().Str("event", "registered").Uint64("incarnation", r.identity.Incarnation()).
				Int64("offset", offset).Msg("")
		case registered:
			wait(ctx, amended, time.Hour)
		case r.registered || state.Departed(r.identity.Name(), r.identity.Incarnation()):
			r.renew(ctx)
		default:
			r.register(ctx, amended)
		}
	}
}

// renew takes a new incarnation. The wait keeps two sidecars of the same name from replacing each other quickly; it
// begins anew only after a registration that has lasted.
func (r *Registrar) renew(ctx context.Context) {
	if time.Since(r.since) > lastingRegistration {
		r.backOff = firstRegisterBackOff
	}

	r.log.Warn().Str("event", "incarnation_lost").Uint64("incarnation", r.identity.Incarnation()).Msg("")
	r.registered = false
	r.identity.Renew()
	r.links.Reconnect("new incarnation")
	r.rest(ctx)
}

func (r *Registrar) register(ctx context.Context, amended <-chan struct{}) {
	s := r.links.pick()
	if s == nil || s.incarnation != r.identity.Incarnation() {
		wait(ctx, amended, firstRegisterBackOff)
		return
	}

	if err := r.ask(ctx, s); err != nil {
		r.log.Warn().Err(err).Str("event", "register_failed").Str("entry", s.entry.GetName()).Msg("")
		r.rest(ctx)

		return
	}

	// The record arrives with the next exchange of positions.
	for until := time.Now().Add(registerWait); time.Now().Before(until) && ctx.Err() == nil; {
		amended := r.book.Amended()
		if _, registered := r.book.State().Registered(r.identity.Name(), r.identity.Incarnation()); registered {
			return
		}

		wait(ctx, amended, time.Until(until))
	}
}

func (r *Registrar) ask(ctx context.Context, s *Session) error {
	ctx, cancel := context.WithTimeout(ctx, registerTimeout)
	defer cancel()

	w := &wire.Register{}
	w.SetWorker(r.identity.Worker())

	f := &wire.Frame{}
	f.SetRegister(w)

	f, err := s.connection.RoundTrip(ctx, f)
	if err != nil {
		return merry.Prepend(err, "register")
	}

	if !f.GetRegisterReply().GetOk() {
		return merry.Errorf("register: entry refused: %s", f.GetRegisterReply().GetMessage())
	}

	return nil
}

func (r *Registrar) rest(ctx context.Context) {
	wait(ctx, nil, jitter(r.backOff))
	r.backOff = min(2*r.backOff, lastRegisterBackOff)
}

func wait(ctx context.Context, changed <-chan struct{}, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()

	select {
	case <-ctx.Done():
	case <-changed:
	case <-timer.C:
	}
}
