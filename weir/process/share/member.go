package share

// Member is a member's entitlement at this worker.
type Member struct {
	name             string
	limit, allowance int
	// unlimited is true if the limit is at least the sum of the slots of all workers.
	unlimited bool
}

// NewMember returns a member with its limit over all workers and its allowance at this worker, both in slots.
func NewMember(name string, limit, allowance int) Member {
	return Member{name: name, limit: limit, allowance: allowance}
}

// Unlimited returns the member for a limit of at least the sum of the slots of all workers. An increase of its
// allowance applies at once, since no sum of allowances can exceed the limit.
func (m Member) Unlimited() Member {
	m.unlimited = true

	return m
}

// Name returns the member's name.
func (m Member) Name() string { return m.name }

// Allowance returns the member's allowance at this worker in slots.
func (m Member) Allowance() int { return m.allowance }

// member is the scheduler's state of a member.
type member struct {
	limit                  int
	allowance              Allowance
	heldSlots, queuedSlots int
}

// MemberLoad is the use and the allowance of a member at this worker, in slots.
type MemberLoad struct {
	name                                      string
	heldSlots, queuedSlots, allowance, target int
}

// Name returns the member's name.
func (m MemberLoad) Name() string { return m.name }

// HeldSlots returns the number of slots that the member's running tasks occupy.
func (m MemberLoad) HeldSlots() int { return m.heldSlots }

// QueuedSlots returns the number of slots that the member's queued tasks need.
func (m MemberLoad) QueuedSlots() int { return m.queuedSlots }

// Allowance returns the number of slots that the member may hold now.
func (m MemberLoad) Allowance() int { return m.allowance }

// Target returns the number of slots that the member may hold once the growth delay has passed.
func (m MemberLoad) Target() int { return m.target }
