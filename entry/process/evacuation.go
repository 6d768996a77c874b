package process

import (
	"context"

	"github.com/skylarkweir/skylarkweir/entry/repeatable"
	"github.com/skylarkweir/skylarkweir/weir/process/uptime"
	"github.com/skylarkweir/skylarkweir/weir/version/ledger"
)

// evacuationFollower puts the evacuations of the log into force at the dispatcher. They come from the log service, or from
// other processes while that can't be reached.
type evacuationFollower struct {
	replica    *ledger.Replica
	dispatcher *repeatable.Dispatcher
}

// adopt puts the evacuations into force. An incomplete state is that of an earlier position, or of none.
func (f *evacuationFollower) adopt() {
	if s := f.replica.State(); s.Complete() {
		f.dispatcher.AdoptEvacuations(s.Evacuations(), "log")
	}
}

// confirm records that the log service has answered, so that the state holds its newest evacuations.
func (f *evacuationFollower) confirm() {
	if f.replica.State().Complete() {
		f.adopt()
		f.dispatcher.ConfirmEvacuations(uptime.Now())
	}
}

// run follows the replica until the context ends.
func (f *evacuationFollower) run(ctx context.Context) {
	for {
		changed := f.replica.ConfigChanged()
		f.adopt()

		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}
