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
	// registrationTimeout limits one attempt, in which the entry appends a record and reads it back.
	registrationTimeout = 10 * time.Second
	// registrationReadTimeout limits the wait for the record to appear in the replica after the entry has confirmed it.
	registrationReadTimeout = 5 * time.Second

	minRegistrationBackOff = 200 * time.Millisecond
	maxRegistrationBackOff = 5 * time.Second
	// stableRegistrationTime is the duration of a registration after which the back-off starts again at its minimum.
	stableRegistrationTime = time.Minute
)

// Registrar keeps the sidecar registered in the log. It registers through one entry at a time.
type Registrar struct {
	links    *Links
	identity *Identity
	replica  *ledger.Replica
	log      zerolog.Logger
	// registered is true once the log state has the current incarnation.
	registered bool
	// registeredAt is the time at which registered was last set.
	registeredAt time.Time
	backOff      time.Duration
	stopped      atomic.Bool
}

// NewRegistrar returns a registrar, which registers the worker once Loop runs.
func NewRegistrar(l *Links, i *Identity, replica *ledger.Replica, log zerolog.Logger) *Registrar {
	return &Registrar{links: l, identity: i, replica: replica, log: log, backOff: minRegistrationBackOff}
}

// Stop prevents further registrations. Without it, the record of its departure would make a leaving sidecar register
// again while it finishes its tasks.
func (r *Registrar) Stop() { r.stopped.Store(true) }

// Loop registers the sidecar, and registers a new incarnation whenever the current one was declared lost or replaced,
// until ctx ends or Stop is called.
func (r *Registrar) Loop(ctx context.Context) {
	for ctx.Err() == nil {
		changed := r.replica.ConfigChanged()
		state := r.replica.State()
		offset, registered := state.Registered(r.identity.Name(), r.identity.Incarnation())

		switch {
		case r.stopped.Load():
			return
		case registered && !r.registered:
			r.registered, r.registeredAt = true, time.Now()
			r.log.Info().Str("event", "registered").Uint64("incarnation", r.identity.Incarnation()).
				Int64("offset", offset).Msg("this incarnation is registered in the log")
		case registered:
			wait(ctx, changed, time.Hour)
		case r.registered || state.Departed(r.identity.Name(), r.identity.Incarnation()):
			r.renewIncarnation(ctx)
		default:
			r.register(ctx, changed)
		}
	}
}

// renewIncarnation sets a new incarnation and waits. The wait keeps two sidecars with the same name from replacing each
// other in quick succession. Its back-off is reset only after a registration that lasted for stableRegistrationTime.
func (r *Registrar) renewIncarnation(ctx context.Context) {
	if time.Since(r.registeredAt) > stableRegistrationTime {
		r.backOff = minRegistrationBackOff
	}

	r.log.Warn().Str("event", "incarnation_lost").Uint64("incarnation", r.identity.Incarnation()).
		Msg("this incarnation was declared lost, registering a new one")
	r.registered = false
	r.identity.Renew()
	r.links.Reconnect("new incarnation")
	r.waitBackOff(ctx)
}

func (r *Registrar) register(ctx context.Context, changed <-chan struct{}) {
	s := r.links.randomSession()
	if s == nil || s.incarnation != r.identity.Incarnation() {
		wait(ctx, changed, minRegistrationBackOff)
		return
	}

	if err := r.sendRegister(ctx, s); err != nil {
		r.log.Warn().Err(err).Str("event", "register_failed").Str("entry", s.entry.GetName()).
			Msg("registration through an entry failed, retrying")
		r.waitBackOff(ctx)

		return
	}

	// The record arrives from an entry with the next exchange of positions.
	for until := time.Now().Add(registrationReadTimeout); time.Now().Before(until) && ctx.Err() == nil; {
		changed := r.replica.ConfigChanged()
		if _, registered := r.replica.State().Registered(r.identity.Name(), r.identity.Incarnation()); registered {
			return
		}

		wait(ctx, changed, time.Until(until))
	}
}

func (r *Registrar) sendRegister(ctx context.Context, s *Session) error {
	ctx, cancel := context.WithTimeout(ctx, registrationTimeout)
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

func (r *Registrar) waitBackOff(ctx context.Context) {
	wait(ctx, nil, jitter(r.backOff))
	r.backOff = min(2*r.backOff, maxRegistrationBackOff)
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
