package repeatable

import (
	"time"

	"github.com/skylarkweir/skylarkweir/weir/process/delivery"
	"github.com/skylarkweir/skylarkweir/weir/process/uptime"
)

// watchReply returns what came back for a call that renews the lease and lists the runs. One that is fenced does neither.
func watchReply(result WatchResult, err error) delivery.Reply {
	if err == nil && result.fenced {
		return delivery.Declined
	}

	return callReply(err)
}

// recordRenewal records the answer to a call that was sent at the time sent and carried the end of a lease.
func (i *incarnation) recordRenewal(result WatchResult, sent time.Duration) {
	now := uptime.Now()

	c := delivery.NewCall(delivery.Renewal)
	c.Send()
	c.Record(watchReply(result, nil))

	i.lease.RecordClock(result.clock, now)

	if c.Claim() == delivery.Extended {
		i.lease.RecordAnswer(sent, now)
	} else {
		i.lease.RecordContact(now)
	}
}
