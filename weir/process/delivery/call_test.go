package delivery_test

import (
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/skylarkweir/skylarkweir/weir/process/delivery"
)

// Guards against a call of unknown fate that a later answer settles: whatever else comes back, work that may have begun
// is never told as work that did not run.
func TestUnansweredTryIsNeverForgotten(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		is := is.New(t)
		replies := rapid.SliceOfN(rapid.SampledFrom([]delivery.Reply{
			delivery.NoReply, delivery.NotDelivered, delivery.Declined, delivery.Confirmed,
		}), 1, 6).Draw(t, "replies")

		var c delivery.Call

		mayRun := false

		for _, r := range replies {
			c.Send()
			is.Equal(c.Claim(), delivery.MayRun) // the try may be carried out before its answer arrives
			c.Record(r)

			mayRun = mayRun || r == delivery.NoReply || r == delivery.Confirmed
			is.Equal(c.Claim() == delivery.MayRun, mayRun)
		}
	})
}

// Guards against a call that counts as unknown before it was sent.
func TestUnsentCallNeverRan(t *testing.T) {
	is := is.New(t)

	var c delivery.Call

	is.Equal(c.State(), delivery.Unsent)
	is.Equal(c.Claim(), delivery.NeverRan)
	is.Equal(c.Unanswered(), 0)
}

// Guards against a call that counts as settled while a try of it may still be carried out: a confirmed try settles no other.
func TestConfirmedTrySettlesNoOther(t *testing.T) {
	is := is.New(t)

	var c delivery.Call

	c.Send()
	c.Send()
	c.Record(delivery.Confirmed)
	is.True(!c.Settled())

	answered := c
	answered.Record(delivery.Declined)
	is.True(answered.Settled())

	c.Record(delivery.NoReply)
	is.True(!c.Settled())
}

// Guards against a call that claims too much: whatever comes back for several tries of it, in whatever order, each kind claims
// that something has happened only if a try was confirmed, and that nothing has only if no try may have been carried out.
func TestClaimsFollowFromTheReplies(t *testing.T) {
	type claims struct{ nothing, open, confirmed delivery.Claim }

	for kind, want := range map[delivery.Kind]claims{
		delivery.Start:     {delivery.NeverRan, delivery.MayRun, delivery.MayRun},
		delivery.Stop:      {delivery.MayRun, delivery.MayRun, delivery.IsEnding},
		delivery.Renewal:   {delivery.NotExtended, delivery.MayBeExtended, delivery.Extended},
		delivery.Execution: {delivery.NeverRan, delivery.MayRun, delivery.HasEnded},
	} {
		rapid.Check(t, func(t *rapid.T) {
			is := is.New(t)
			c := delivery.NewCall(kind)
			is.Equal(c.Claim(), want.nothing)

			inFlight, unanswered, confirmed := 0, false, false

			for range rapid.IntRange(1, 12).Draw(t, "steps") {
				if inFlight == 0 || rapid.Bool().Draw(t, "sends") {
					c.Send()

					inFlight++
				} else {
					r := rapid.SampledFrom([]delivery.Reply{
						delivery.NoReply, delivery.NotDelivered, delivery.Declined, delivery.Confirmed,
					}).Draw(t, "reply")
					c.Record(r)

					inFlight--
					unanswered = unanswered || r == delivery.NoReply
					confirmed = confirmed || r == delivery.Confirmed
				}

				switch {
				case confirmed:
					is.Equal(c.Claim(), want.confirmed)
				case unanswered || inFlight > 0:
					is.Equal(c.Claim(), want.open)
				default:
					is.Equal(c.Claim(), want.nothing)
				}
			}
		})
	}
}
