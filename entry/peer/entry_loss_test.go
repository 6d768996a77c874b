package peer_test

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"github.com/skylarkweir/skylarkweir/entry/peer"
	"github.com/skylarkweir/skylarkweir/weir/connection/wire"
	"github.com/skylarkweir/skylarkweir/weir/version/ledger"
)

// bookAppender writes records to a book, as the log would.
type replicaAppender struct{ replica *ledger.Replica }

func (a replicaAppender) Append(_ context.Context, record []byte) error {
	p := a.replica.State().LogPosition()
	a.replica.ApplyLog([]ledger.Record{ledger.NewRecord(p, time.Now(), record)}, p+1)

	return nil
}

// Guards against dead entries that stay in the log for ever, against the removal of one that is reached, and against an
// entry that is cut off and removes all others.
func TestUnreachedEntriesAreRemoved(t *testing.T) {
	is := is.New(t)
	keys := issueKeys(t)
	alive := startEntry(t, keys, 2)
	own := startEntry(t, keys, 1, alive.self.GetAddress())
	log := replicaAppender{own.replica}

	dead := &wire.Entry{}
	dead.SetName("dead")
	dead.SetIncarnation(3)
	dead.SetAddress("127.0.0.1:1")

	for _, e := range []*wire.Entry{own.self, alive.self, dead} {
		is.NoErr(log.Append(t.Context(), ledger.EntryJoinedRecord(e)))
	}

	d := peer.NewEntryLossDetector(own.peers, own.replica, log, 500*time.Millisecond, zerolog.Nop())
	ctx, stop := context.WithCancel(t.Context())
	done := make(chan struct{})

	go func() {
		defer close(done)

		d.Run(ctx)
	}()

	names := func() (all string) {
		for _, e := range own.replica.State().Entries() {
			all += e.Name() + " "
		}

		return all
	}

	for end := time.Now().Add(20 * time.Second); names() != "e1 e2 " && time.Now().Before(end); {
		time.Sleep(10 * time.Millisecond)
	}

	is.Equal(names(), "e1 e2 ")

	// With three more dead entries this one reaches less than half of the others.
	for i := range uint64(3) {
		unreachable := &wire.Entry{}
		unreachable.SetName("more" + string(rune('a'+i)))
		unreachable.SetIncarnation(10 + i)
		unreachable.SetAddress("127.0.0.1:1")
		is.NoErr(log.Append(t.Context(), ledger.EntryJoinedRecord(unreachable)))
	}

	time.Sleep(1500 * time.Millisecond)
	is.Equal(len(own.replica.State().Entries()), 5)

	stop()
	<-done
}
