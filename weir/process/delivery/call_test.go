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
