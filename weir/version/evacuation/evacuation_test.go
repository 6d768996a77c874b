package evacuation_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/skylarkweir/skylarkweir/weir/version/evacuation"
)

// Guards against a value that is known to nobody and evacuates something, and against one that is changed or sent in
// another form than it was read.
func TestValue(t *testing.T) {
	is := is.New(t)

	var nothing evacuation.Value

	is.True(!nothing.Has("a") && !nothing.Has(""))
	is.Equal(nothing.Frame(), nil)

	domains := []string{"b", "a", "b"}
	v := evacuation.NewValue(7, domains)
	domains[0] = "c"

	v.Domains()[0] = "d"

	is.Equal(v.Domains(), []string{"a", "b"})
	is.True(v.Has("a") && v.Has("b") && !v.Has("c") && !v.Has(""))
	is.Equal(evacuation.Decode(v.Frame().GetEvacuations()), v)
	is.Equal(v.Merge(evacuation.NewValue(7, nil)), v)
	is.Equal(evacuation.NewValue(8, nil).Merge(v).Len(), 0)
}

// Guards against an older or repeated value that comes into force again, against changes that are not reported, and against
// an age that goes on although the value was confirmed.
func TestCurrentAdoptsHigherPositionsOnly(t *testing.T) {
	is := is.New(t)

	var c evacuation.Current

	_, adopted := c.Update(evacuation.Value{})
	is.True(!adopted)

	d, adopted := c.Update(evacuation.NewValue(3, []string{"a", "b"}))
	is.True(adopted)
	is.Equal(d.Began(), []string{"a", "b"})

	d, adopted = c.Update(evacuation.NewValue(5, []string{"b", "c"}))
	is.True(adopted)
	is.Equal(d.Began(), []string{"c"})
	is.Equal(d.Ended(), []string{"a"})

	for _, position := range []int64{-1, 0, 3, 4, 5} {
		_, adopted = c.Update(evacuation.NewValue(position, nil))
		is.True(!adopted)
	}

	is.Equal(c.Value().Domains(), []string{"b", "c"})

	is.Equal(c.Age(time.Hour), time.Duration(0)) // never confirmed
	c.Confirm(time.Hour)
	c.Confirm(time.Minute) // known late
	is.Equal(c.Age(time.Hour+time.Second), time.Second)
}

// Guards against an age that becomes smaller when it is passed on, and against one that was never confirmed and counts as
// new.
func TestAgeInMessages(t *testing.T) {
	is := is.New(t)

	var c evacuation.Current

	is.Equal(c.WireAge(time.Hour), uint32(0))
	is.Equal(evacuation.ConfirmedAt(0, time.Hour), time.Duration(0))

	c.Confirm(time.Nanosecond)
	is.Equal(c.WireAge(time.Hour), uint32(0)) // nothing is known

	c = evacuation.Current{}
	c.Update(evacuation.NewValue(3, []string{"a"}))
	is.Equal(c.WireAge(time.Hour), uint32(0))

	c.Confirm(evacuation.ConfirmedAt(10, time.Millisecond)) // before the start of the process
	is.Equal(c.WireAge(time.Millisecond), uint32(10))

	c.Confirm(time.Hour)

	for age, want := range map[time.Duration]uint32{
		0: 1, 100 * time.Millisecond: 1, 101 * time.Millisecond: 2, 10 * time.Second: 100,
	} {
		now := time.Hour + age
		sent := c.WireAge(now)
		is.Equal(sent, want)
		is.True(now-evacuation.ConfirmedAt(sent, now) >= age)
		is.Equal(c.Frame(now).GetEvacuations().GetAge(), want)
	}
}

// Guards against a record that can't be read and gives a domain back, or ends that of another one, and against a state of
// several positions that counts as one.
func TestTrackerKeepsWhatItCannotRead(t *testing.T) {
	is := is.New(t)

	var k evacuation.Tracker

	domains := func(position int64) []string {
		v, exact := k.Value(position)
		is.True(exact)
		is.Equal(v.Position(), position)

		return v.Domains()
	}

	k.Reset([]evacuation.Change{evacuation.Unknown("a"), evacuation.Begun("b"), evacuation.Ended("c")}, 9)

	_, exact := k.Value(8)
	is.True(!exact)
	is.Equal(domains(9), []string{"a", "b"}) // nothing was known of a

	k.Apply(evacuation.Ended("b"))
	k.Apply(evacuation.Unknown("b"))
	k.Apply(evacuation.Unknown("a"))
	k.Apply(evacuation.Unknown(""))
	is.Equal(domains(13), []string{"a"})

	k.Reset([]evacuation.Change{evacuation.Unknown("b"), evacuation.Unknown("")}, 15)
	is.Equal(domains(15), []string{"a"}) // the record without a key may be that of a

	k.Reset([]evacuation.Change{evacuation.Unknown("b")}, 16)
	is.Equal(len(domains(16)), 0)
}
