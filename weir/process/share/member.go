package share

// Member is a member's entitlement at this worker.
type Member struct {
	name             string
	limit, allowance int
	// unlimited is true if the limit is at least the whole fleet.
	unlimited bool
}

// NewMember returns a member with its limit over all workers and its allowance at this worker, in slots.
func NewMember(name string, limit, allowance int) Member {
	return Member{name: name, limit: limit, allowance: allowance}
}

// Unlimited returns the member for a limit of at least the whole fleet. Its allowance grows at once, since no sum of
// allowances can exceed the limit.
func (m Member) Unlimited() Member {
	m.unlimited = true

	return m
}

// Name returns the member's name.
func (m Member) Name() string { return m.name }

// Allowance returns the member's allowance at this worker.
func (m Member) Allowance() int { return m.allowance }

// member is the state of a member.
type member struct {
	limit     int
	allowance Allowance
	// held and queued count slots.
	heldSlots, queuedSlots int
}

// MemberLoad is what a member holds and may hold at this worker, in slots.
type MemberLoad struct {
	name                                      string
	heldSlots, queuedSlots, allowance, target int
}

// Name returns the member.
func (m MemberLoad) Name() string { return m.name }

// Held returns the slots that the member holds.
func (m MemberLoad) HeldSlots() int { return m.heldSlots }

// Queued returns the slots that the member's queued tasks need.
func (m MemberLoad) QueuedSlots() int { return m.queuedSlots }

// Allowance returns the slots that the member may hold now.
func (m MemberLoad) Allowance() int { return m.allowance }

// Target returns the slots that the member may hold once the delay has passed.
func (m MemberLoad) Target() int { return m.target }
