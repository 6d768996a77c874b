package binding_test

import (
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"github.com/skylarkweir/skylarkweir/entry/binding"
	"github.com/skylarkweir/skylarkweir/entry/caller"
	standin "github.com/skylarkweir/skylarkweir/standin/logservice"
	"github.com/skylarkweir/skylarkweir/weir/connection/logservice"
	"github.com/skylarkweir/skylarkweir/weir/request/fault"
	"github.com/skylarkweir/skylarkweir/weir/request/ticket"
	"github.com/skylarkweir/skylarkweir/weir/version/ledger"
)

const lifetime = 10 * time.Minute

var key = ticket.Key("0123456789abcdef")

// testEntry holds the parts of an entry that bind keys.
type testEntry struct {
	replica *ledger.Replica
	issuer  *caller.TicketIssuer
	binder  *binding.Binder
}

type cluster struct {
	log     *httptest.Server
	entries []*testEntry
}

func positionOf(r *ledger.Replica) func() int64 { return func() int64 { return r.State().Position() } }

func newCluster(t *testing.T, entries int) *cluster {
	t.Helper()

	c := &cluster{log: httptest.NewServer(&standin.Log{})}
	ctx, stop := context.WithCancel(context.Background())

	var group sync.WaitGroup

	t.Cleanup(func() {
		stop()
		c.log.CloseClientConnections()
		group.Wait()
		c.log.Close()
	})

	for i := range entries {
		client, replica := logservice.NewClient(c.log.URL), &ledger.Replica{}
		follower := logservice.NewFollower(client, replica, time.Hour, zerolog.Nop())
		appender := logservice.NewAppender(client, replica, 100)

		group.Go(func() { follower.Run(ctx) })
		group.Go(func() { appender.Run(ctx) })

		issuer := caller.NewTicketIssuer(key, netip.MustParseAddrPort(fmt.Sprintf("127.0.0.1:%d", i+1)), uint64(i+1), positionOf(replica), time.Minute)
		c.entries = append(c.entries, &testEntry{replica, issuer, binding.NewBinder(issuer, appender, replica, lifetime, zerolog.Nop())})
	}

	return c
}

// setFaults replaces the faults that the log service injects.
func (c *cluster) setFaults(is *is.I, body string) {
	is.Helper()

	r, err := http.NewRequestWithContext(context.Background(), http.MethodPost, c.log.URL+"/admin/faults", bytes.NewBufferString(body))
	is.NoErr(err)

	w, err := http.DefaultClient.Do(r)
	is.NoErr(err)
	w.Body.Close()
	is.Equal(w.StatusCode, 200)
}

func (c *cluster) awaitLogRead(is *is.I) {
	is.Helper()

	for _, e := range c.entries {
		eventually(is, func() bool {
			_, known := e.replica.State().BindingsCompleteSince()

			return known
		})
	}
}

func eventually(is *is.I, done func() bool) {
	is.Helper()

	for range 1000 {
		if done() {
			return
		}

		time.Sleep(10 * time.Millisecond)
	}

	is.Fail() // condition was not met within 10 s
}

// appendFirstRecord appends a record and waits until all entries have read the log. An empty log has no position that
// they could have read up to.
func (c *cluster) appendFirstRecord(is *is.I) {
	is.Helper()

	_, err := logservice.NewClient(c.log.URL).Append(context.Background(), ledger.BindingRecord("x", "y", "z", nil))
	is.NoErr(err)
	c.awaitLogRead(is)
}

func keyAt(at time.Time) uuid.UUID {
	u := uuid.Must(uuid.NewV7())

	ms := at.UnixMilli()
	for i := range 6 {
		u[5-i] = byte(ms >> (8 * i))
	}

	return u
}

// Guards against two entries that both become home of one key, which would run its tasks twice. It happens when entries
// bind the key concurrently and disagree on which record is first. The log loses its answers in about half of the
// rounds.
func TestConcurrentBindings(t *testing.T) {
	const seed = 20261204
	t.Logf("seed %d", uint64(seed))

	random := rand.New(rand.NewPCG(seed, 1))
	is := is.New(t)
	c := newCluster(t, 4)
	c.appendFirstRecord(is)

	for round := range 12 {
		loseAnswers := random.IntN(2) == 0
		c.setFaults(is, fmt.Sprintf(`{"lose_answers":%t,"delay_ms":%d}`, loseAnswers, random.IntN(20)))

		u := keyAt(time.Now())
		results := make(chan string, 12)

		for i := range cap(results) {
			delay := time.Duration(random.IntN(15)) * time.Millisecond
			e := c.entries[i%len(c.entries)]

			go func() {
				time.Sleep(delay)

				id, err := e.binder.Bind(context.Background(), "m", u)
				if err != nil {
					id = "refused: " + err.Error()
				}
				results <- id
			}()
		}

		first := <-results
		_, err := key.Parse(first)
		is.NoErr(err) // the key was bound

		for range cap(results) - 1 {
			is.Equal(<-results, first)
		}

		t.Logf("round %d, answers lost: %t", round, loseAnswers)
	}
}

// Guards against a wait beyond 2 s while the log is down, and against a binding that is appended after its request was
// refused and that the next submission with the key does not find or another entry overrides.
func TestLogDownAndLateBinding(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 2)
	c.appendFirstRecord(is)

	u := keyAt(time.Now())

	// The append takes effect after the caller was refused.
	c.setFaults(is, `{"delay_ms":2500}`)

	start := time.Now()
	_, err := c.entries[0].binder.Bind(t.Context(), "m", u)
	is.Equal(fault.KindOf(err), fault.LogUnavailable)
	is.Equal(fault.RanOf(err), fault.RanUnknown)
	is.True(time.Since(start) < 2*time.Second)

	c.setFaults(is, `{}`)

	second, err := c.entries[1].binder.Bind(t.Context(), "m", u)
	is.NoErr(err)

	// The log has the first record and both bindings.
	for _, e := range c.entries {
		eventually(is, func() bool { return e.replica.State().LogPosition() >= 3 })
	}

	// Whichever record was first, both entries return the same ticket from now on.

	for range 3 {
		for _, e := range c.entries {
			id, err := e.binder.Bind(t.Context(), "m", u)
			is.NoErr(err)
			is.Equal(id, second)
		}
	}

	c.setFaults(is, `{"down":true}`)

	start = time.Now()
	_, err = c.entries[0].binder.Bind(t.Context(), "m", keyAt(time.Now()))
	is.Equal(fault.KindOf(err), fault.LogUnavailable)
	is.True(time.Since(start) < 2*time.Second)

	// A key that is already bound does not need the log.
	id, err := c.entries[0].binder.Bind(t.Context(), "m", u)
	is.NoErr(err)
	is.Equal(id, second)
}

// Guards against a timed-out append that is treated as failed. The record is appended after the refusal, so the next
// submission with the key has to get exactly the ticket in it, which was not used before.
func TestRefusedBindingIsUsedNext(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 2)
	c.appendFirstRecord(is)

	delayed := &delayedAppender{replica: c.entries[0].replica, client: logservice.NewClient(c.log.URL)}
	b := binding.NewBinder(c.entries[0].issuer, delayed, c.entries[0].replica, lifetime, zerolog.Nop())
	u := keyAt(time.Now())

	_, err := b.Bind(t.Context(), "m", u)
	is.Equal(fault.KindOf(err), fault.LogUnavailable)

	// The record reaches the log only now.
	is.NoErr(delayed.appendRecord())
	eventually(is, func() bool {
		_, bound := c.entries[1].replica.State().Binding("m", u.String())

		return bound
	})

	id, err := c.entries[1].binder.Bind(t.Context(), "m", u)
	is.NoErr(err)

	home, err := key.Parse(id)
	is.NoErr(err)
	is.Equal(home.Incarnation(), uint64(1)) // the entry that refused is home
}

// delayedAppender holds back a record until the test calls appendRecord.
type delayedAppender struct {
	replica *ledger.Replica
	client  *logservice.Client
	record  []byte
}

func (a *delayedAppender) Append(ctx context.Context, record []byte) error {
	a.record = record
	<-ctx.Done()

	return ctx.Err()
}

func (a *delayedAppender) appendRecord() error {
	_, err := a.client.Append(context.Background(), a.record)

	return err
}

// Guards against keys that are accepted although they are too old, so that an earlier binding may have been dropped,
// and against keys that never expire because their time is in the future or missing.
func TestKeyTimeLimits(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 1)
	c.appendFirstRecord(is)

	b, now := c.entries[0].binder, time.Now()

	for _, c := range []struct {
		key  uuid.UUID
		kind fault.Kind
	}{
		{keyAt(now.Add(-lifetime - time.Second)), fault.KeyExpired},
		{keyAt(now.Add(11 * time.Second)), fault.InvalidRequest},
		{uuid.New(), fault.InvalidRequest},
		{uuid.UUID{}, fault.InvalidRequest},
	} {
		_, err := b.Bind(t.Context(), "m", c.key)
		is.Equal(fault.KindOf(err), c.kind)
	}

	for _, at := range []time.Time{now.Add(-lifetime + time.Minute), now.Add(8 * time.Second)} {
		_, err := b.Bind(t.Context(), "m", keyAt(at))
		is.NoErr(err)
	}
}

// Guards against keys that are bound although an earlier binding may be missing: before anything was read from the log,
// and after a gap in it.
func TestIncompleteBindings(t *testing.T) {
	is := is.New(t)
	replica := &ledger.Replica{}
	issuer := caller.NewTicketIssuer(key, netip.MustParseAddrPort("127.0.0.1:1"), 1, positionOf(replica), time.Minute)
	b := binding.NewBinder(issuer, &delayedAppender{}, replica, lifetime, zerolog.Nop())
	start := time.Now()

	_, err := b.Bind(t.Context(), "m", keyAt(start))
	is.Equal(fault.KindOf(err), fault.LogUnavailable)

	// The log has dropped the record at offset 0, which may have been an earlier binding of the key.
	replica.ApplyLog([]ledger.Record{ledger.NewRecord(1, start, ledger.BindingRecord("m", "other", "t", nil))}, 2)

	_, err = b.Bind(t.Context(), "m", keyAt(start))
	is.Equal(fault.KindOf(err), fault.LogUnavailable)
	is.True(time.Since(start) < time.Second) // refused without an append
}

// Guards against an entry that binds new keys, and so becomes home of further submissions, while it leaves.
func TestLeave(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 1)
	c.appendFirstRecord(is)

	b, u := c.entries[0].binder, keyAt(time.Now())

	id, err := b.Bind(t.Context(), "m", u)
	is.NoErr(err)
	b.Leave()

	again, err := b.Bind(t.Context(), "m", u)
	is.NoErr(err)
	is.Equal(again, id)

	_, err = b.Bind(t.Context(), "m", keyAt(time.Now()))
	is.Equal(fault.KindOf(err), fault.Leaving)
}

// Guards against a key that is refused as one of which nothing ran, though another entry, whose clock is ahead, may have
// bound it.
func TestKeyAheadOfTheClockIsNotSettled(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 1)
	c.appendFirstRecord(is)

	for k, ran := range map[uuid.UUID]fault.Ran{
		keyAt(time.Now().Add(time.Hour)): fault.RanUnknown,
		uuid.New():                       fault.RanNone, // no entry binds a key of this form
	} {
		_, err := c.entries[0].binder.Bind(t.Context(), "m", k)
		is.Equal(fault.KindOf(err), fault.InvalidRequest)
		is.Equal(fault.RanOf(err), ran)
	}
}
