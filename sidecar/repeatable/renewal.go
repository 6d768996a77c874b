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

	i.recordClock(result.clock, sent, now)

	if c.Claim() == delivery.Extended {
		i.lease.RecordAnswer(sent, now)
	} else {
		i.lease.RecordContact(now)
	}
}

// loggedClockError is the error of the expected clock of the backend server above which it is logged.
const loggedClockError = 50 * time.Millisecond

// recordClock records a reading of the backend server's clock in the answer to a call that was sent at the time sent.
func (i *incarnation) recordClock(reading, sent, now time.Duration) {
	behind := i.lease.RecordClock(reading, sent, now)
	if behind <= loggedClockError {
		return
	}

	i.worker.log.Warn().Str("event", "backend_clock_behind").Str("instance", i.instance).Dur("behind", behind).
		Msg("clock of the backend server is behind of what was expected: it has stood still, or another process has answered; leases follow it")
}
