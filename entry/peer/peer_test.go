package peer_test

import (
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/skylarkweir/skylarkweir/weir/connection/quic"
	"github.com/skylarkweir/skylarkweir/weir/connection/wire"
	"github.com/skylarkweir/skylarkweir/weir/version/ledger"
)

// Guards against a reply that is matched to the wrong request when many forwards run in both directions and their
// replies arrive in any order.
func TestConcurrentForwards(t *testing.T) {
	t.Parallel()

	const seed = 41

	t.Logf("seed %d", seed)

	is := is.New(t)
	random := rand.New(rand.NewPCG(seed, 1))
	keys := issueKeys(t)
	a := startEntry(t, keys, 1)
	b := startEntry(t, keys, 2, a.self.GetAddress())

	type result struct{ want, got string }

	results := make(chan result, 400)

	for i := range cap(results) {
		from, to := a, b
		if i%2 == 0 {
			from, to = b, a
		}

		id, wait := fmt.Sprintf("s%d", i), time.Duration(random.IntN(200))*time.Millisecond

		go func() {
			r, isHome, err := from.peers.Forward(context.Background(), to.self, newForward(id, to.self.GetIncarnation(), wait))
			if err != nil || !isHome {
				results <- result{id, fmt.Sprint(isHome, err)}

				return
			}

			r.ReportDelivery(true)
			results <- result{id, string(r.Body())}
		}()
	}

	for range cap(results) {
		r := <-results
		is.Equal(r.got, r.want)
	}
}

// Guards against a home that records an answer as delivered although its caller did not get it, and against the
// reverse.
func TestDeliveryReport(t *testing.T) {
	t.Parallel()

	is := is.New(t)
	keys := issueKeys(t)
	a := startEntry(t, keys, 1)
	b := startEntry(t, keys, 2)

	for id, delivered := range map[string]bool{"got": true, "broken": false} {
		r, _, err := a.peers.Forward(t.Context(), b.self, newForward(id, 2, 0))
		is.NoErr(err)
		r.ReportDelivery(delivered)
		eventually(is, func() bool {
			_, known := b.home.delivery(id)

			return known
		})

		got, _ := b.home.delivery(id)
		is.Equal(got, delivered)
	}

	is.NoErr(b.peers.Drain(t.Context()))
}

// Guards against a reply that arrives after its forward was cancelled, and is then matched to a later forward or
// counted as delivered.
func TestLateReply(t *testing.T) {
	t.Parallel()

	is := is.New(t)
	keys := issueKeys(t)
	a := startEntry(t, keys, 1)
	b := startEntry(t, keys, 2)

	b.home.started = make(chan string, 2)

	for i := range 20 {
		abandoned, next := fmt.Sprintf("late%d", i), fmt.Sprintf("next%d", i)
		ctx, cancel := context.WithCancel(t.Context())
		failed := make(chan error, 1)

		go func() {
			_, _, err := a.peers.Forward(ctx, b.self, newForward(abandoned, 2, 100*time.Millisecond))
			failed <- err
		}()

		// The home executes the operation when the sender cancels the forward, so the reply is sent after that.
		is.Equal(<-b.home.started, abandoned)
		cancel()
		is.True(<-failed != nil)

		r, isHome, err := a.peers.Forward(t.Context(), b.self, newForward(next, 2, 60*time.Millisecond))
		is.NoErr(err)
		is.True(isHome)
		is.Equal(string(r.Body()), next)
		is.Equal(<-b.home.started, next)
		r.ReportDelivery(true)

		eventually(is, func() bool {
			_, known := b.home.delivery(abandoned)

			return known
		})

		delivered, _ := b.home.delivery(abandoned)
		is.True(!delivered)
	}
}

// Guards against a forward that counts as answered although another incarnation answers at the address, the entry is
// not the home, or no entry is reachable there.
func TestForwardToWrongEntry(t *testing.T) {
	t.Parallel()

	is := is.New(t)
	keys := issueKeys(t)
	a := startEntry(t, keys, 1)
	b := startEntry(t, keys, 2)

	other := &wire.Entry{}
	other.SetAddress(b.self.GetAddress())
	other.SetIncarnation(9)

	_, _, err := a.peers.Forward(t.Context(), other, newForward("s", 9, 0))
	is.True(err != nil) // another incarnation answers at the address

	_, isHome, err := a.peers.Forward(t.Context(), b.self, newForward("s", 9, 0))
	is.NoErr(err)
	is.True(!isHome)

	unreachable := &wire.Entry{}
	unreachable.SetAddress("127.0.0.1:1")
	unreachable.SetIncarnation(5)

	begin := time.Now()
	_, _, err = a.peers.Forward(t.Context(), unreachable, newForward("s", 5, 0))
	is.True(err != nil)
	is.True(time.Since(begin) < 2500*time.Millisecond)
}

// Guards against a home that counts as lost because its operation takes longer than the 2 s timeout between peers, and
// against a forward that waits until its deadline for a home that no longer answers.
func TestLongOperationAndUnresponsiveHome(t *testing.T) {
	t.Parallel()

	is := is.New(t)
	keys := issueKeys(t)
	a := startEntry(t, keys, 1)
	b := startEntry(t, keys, 2)

	r, isHome, err := a.peers.Forward(t.Context(), b.self, newForward("long", 2, 4*time.Second))
	is.NoErr(err)
	is.True(isHome)
	r.ReportDelivery(true)

	paused := &pausedEntry{node: &quic.Node{}, self: &wire.Entry{}}
	is.NoErr(paused.node.Listen("127.0.0.1:0", keys))
	defer paused.node.Close()
	paused.self.SetAddress(paused.node.Address().String())
	paused.self.SetIncarnation(3)

	go paused.run(t.Context())

	begin := time.Now()
	_, _, err = a.peers.Forward(t.Context(), paused.self, newForward("s", 3, 0))
	is.True(err != nil)
	is.True(time.Since(begin) < 2500*time.Millisecond)
}

// pausedEntry is an entry that answers Hello with Welcome and then nothing, like a process that is paused.
type pausedEntry struct {
	node *quic.Node
	self *wire.Entry
}

func (p *pausedEntry) run(ctx context.Context) {
	for {
		c, err := p.node.Accept(ctx)
		if err != nil {
			return
		}

		s, err := c.Accept(ctx)
		if err != nil {
			continue
		}

		_, _ = s.Receive()

		w := &wire.Welcome{}
		w.SetEntry(p.self)

		f := &wire.Frame{}
		f.SetWelcome(w)
		_ = s.Send(f)
	}
}

// Guards against entries that receive records only from the log, so that they miss them while it is down.
func TestRecordsInBothDirections(t *testing.T) {
	t.Parallel()

	is := is.New(t)
	keys := issueKeys(t)
	a := startEntry(t, keys, 1)
	b := startEntry(t, keys, 2, a.self.GetAddress())

	w := &wire.Worker{}
	w.SetName("w")
	w.SetIncarnation(5)

	for i, e := range []*testEntry{a, b, a} {
		offset := int64(i)
		w.SetName(fmt.Sprintf("w%d", i))
		e.replica.ApplyLog([]ledger.Record{ledger.NewRecord(offset, time.Now(), ledger.WorkerJoinedRecord(w))}, offset+1)

		for _, x := range []*testEntry{a, b} {
			eventually(is, func() bool { return x.replica.State().Position() == offset+1 })
			is.Equal(len(x.replica.State().Workers()), i+1)
		}
	}
}

// Guards against submissions that are lost or altered in a handover of several frames, and against a successor that the
// other entries are not notified of.
func TestHandoverAndDeparture(t *testing.T) {
	t.Parallel()

	is := is.New(t)
	keys := issueKeys(t)
	a := startEntry(t, keys, 1)
	b := startEntry(t, keys, 2, a.self.GetAddress())
	c := startEntry(t, keys, 3, a.self.GetAddress(), b.self.GetAddress())
	eventually(is, func() bool { return len(a.peers.Reached()) == 2 && len(c.peers.Reached()) == 2 })

	var submissions []*wire.HeldSubmission

	for i := range 40 {
		h := &wire.HeldSubmission{}
		h.SetSubmission(fmt.Sprintf("s%d", i))
		h.SetAnswer(bytes.Repeat([]byte{byte(i)}, 1<<20))
		submissions = append(submissions, h)
	}

	successor, found := a.peers.Handover(t.Context(), submissions)
	is.True(found)

	receiver := b
	if successor.GetIncarnation() == 3 {
		receiver = c
	}

	is.Equal(len(receiver.home.importedSubmissions()), len(submissions))

	for i, h := range receiver.home.importedSubmissions() {
		is.Equal(h.GetSubmission(), submissions[i].GetSubmission())
		is.True(bytes.Equal(h.GetAnswer(), submissions[i].GetAnswer()))
	}

	a.peers.AnnounceDeparture(t.Context(), successor)

	for _, e := range []*testEntry{b, c} {
		s, found := e.peers.Successor(1)
		is.True(found)
		is.Equal(s.GetIncarnation(), successor.GetIncarnation())
	}
}

// Guards against a handover from an entry that was replaced while it was paused. Its submissions may have been closed
// as lost.
func TestHandoverOfReplacedEntry(t *testing.T) {
	t.Parallel()

	is := is.New(t)
	keys := issueKeys(t)
	a := startEntry(t, keys, 1)
	b := startEntry(t, keys, 2, a.self.GetAddress())
	eventually(is, func() bool { return len(a.peers.Reached()) == 1 })

	replacement := &wire.Entry{}
	replacement.SetName(a.self.GetName())
	replacement.SetIncarnation(8)
	replacement.SetAddress("127.0.0.1:1")
	b.replica.ApplyLog([]ledger.Record{ledger.NewRecord(0, time.Now(), ledger.EntryJoinedRecord(replacement))}, 1)

	_, found := a.peers.Handover(t.Context(), []*wire.HeldSubmission{{}})
	is.True(!found)
	is.Equal(len(b.home.importedSubmissions()), 0)
}

// Guards against submissions that are handed over to an entry after it has handed over its own.
func TestHandoverToLeavingEntry(t *testing.T) {
	t.Parallel()

	is := is.New(t)
	keys := issueKeys(t)
	a := startEntry(t, keys, 1)
	b := startEntry(t, keys, 2, a.self.GetAddress())
	eventually(is, func() bool { return len(a.peers.Reached()) == 1 })
	b.peers.Leave()

	_, found := a.peers.Handover(t.Context(), []*wire.HeldSubmission{{}})
	is.True(!found)
	is.Equal(len(b.home.importedSubmissions()), 0)
}
