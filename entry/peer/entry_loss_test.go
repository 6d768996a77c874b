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

// replicaAppender applies records to a replica directly, as if they were read back from the log.
type replicaAppender struct{ replica *ledger.Replica }

func (a replicaAppender) Append(_ context.Context, record []byte) error {
	p := a.replica.State().LogPosition()
	a.replica.ApplyLog([]ledger.Record{ledger.NewRecord(p, time.Now(), record)}, p+1)

	return nil
}

// Guards against crashed entries that stay in the log forever, against the removal of an entry that is reached, and
// against an entry that is isolated from the others and removes all of them.
func TestUnreachedEntriesAreRemoved(t *testing.T) {
	is := is.New(t)
	keys := issueKeys(t)
	alive := startEntry(t, keys, 2)
	own := startEntry(t, keys, 1, alive.self.GetAddress())
	log := replicaAppender{own.replica}

	crashed := &wire.Entry{}
	crashed.SetName("dead")
	crashed.SetIncarnation(3)
	crashed.SetAddress("127.0.0.1:1")

	for _, e := range []*wire.Entry{own.self, alive.self, crashed} {
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

	// With three more unreachable entries this entry reaches less than half of the registered entries.
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
