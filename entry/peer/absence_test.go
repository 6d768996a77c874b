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
type bookAppender struct{ book *ledger.Replica }

func (a bookAppender) Append(_ context.Context, record []byte) error {
	p := a.book.State().LogPosition()
	a.book.ApplyLog([]ledger.Record{ledger.NewRecord(p, time.Now(), record)}, p+1)

	return nil
}

// Guards against dead entries that stay in the log for ever, against the removal of one that is reached, and against an
// entry that is cut off and removes all others.
func TestAbsentEntriesAreRemoved(t *testing.T) {
	is := is.New(t)
	keys := keysOf(t)
	living := start(t, keys, 2)
	own := start(t, keys, 1, living.self.GetAddress())
	log := bookAppender{own.book}

	dead := &wire.Entry{}
	dead.SetName("dead")
	dead.SetIncarnation(3)
	dead.SetAddress("127.0.0.1:1")

	for _, e := range []*wire.Entry{own.self, living.self, dead} {
		is.NoErr(log.Append(t.Context(), ledger.EntryJoinedRecord(e)))
	}

	a := peer.NewAbsence(own.peers, own.book, log, 500*time.Millisecond, zerolog.Nop())
	ctx, stop := context.WithCancel(t.Context())
	done := make(chan struct{})

	go func() {
		defer close(done)

		a.Run(ctx)
	}()

	names := func() (all string) {
		for _, e := range own.book.State().Entries() {
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
		more := &wire.Entry{}
		more.SetName("more" + string(rune('a'+i)))
		more.SetIncarnation(10 + i)
		more.SetAddress("127.0.0.1:1")
		is.NoErr(log.Append(t.Context(), ledger.EntryJoinedRecord(more)))
	}

	time.Sleep(1500 * time.Millisecond)
	is.Equal(len(own.book.State().Entries()), 5)

	stop()
	<-done
}
