package succession

import "time"

// view is what was announced of one incarnation. The zero value has nothing.
type view struct {
	// newest is the newest announcement by the clock of the backend server.
	newest Announcement
	// drain is the newest announcement that says that the incarnation drains; it is meaningful if drains is true.
	drain  Announcement
	drains bool
}

func newView(a Announcement) view {
	return view{newest: a, drain: a, drains: a.draining}
}

// announcement returns the newest announcement. It drains unless a later one than the drain says that it doesn't.
func (v *view) announcement() Announcement {
	a := v.newest
	a.draining = v.drains

	return a
}

// add adds an announcement, and reports whether it says something that is in force now. A drain takes effect even if a newer
// announcement does not tell of it, since a backend server that drains does not stop doing so. hasReached tells whether the
// backend server's clock may have reached a time; it is nil before the first answer, when that is not known.
//
// Another writer may send any of them. One with a clock that the backend server has not reached is not its own, so that any
// other one replaces it; without an answer, a drain stays.
func (v *view) add(a Announcement, hasReached func(clock time.Duration) bool) bool {
	isForeign := func(b Announcement) bool { return hasReached != nil && !hasReached(b.clock) }

	switch {
	case a.draining && (!v.drains || isForeign(v.drain) || a.isNewerThan(v.drain)):
		v.drain, v.drains = a, true
	case !a.draining && v.drains && hasReached != nil && (isForeign(v.drain) || a.isNewerThan(v.drain)):
		v.drains = false
	}

	isNewest := isForeign(v.newest) || a.isNewerThan(v.newest)
	if isNewest {
		v.newest = a
	}

	return isNewest || a.draining
}
