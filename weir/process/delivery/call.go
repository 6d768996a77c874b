// Package delivery keeps track of what is known of calls whose answers may be lost.
//
// All calls of a sidecar to its backend server use it: starts, stops, renewals with the lists of runs, and the execution of tasks
// with tickets. The table in this package has what may be told of each kind of call, with the reasons.
//
// Starts carry the end of a lease as well, which counts even if the start is declined. So the lease is taken to last until the
// highest end that was sent with any call, whatever came back.
//
// A call is sent in one or more tries. A try without an answer may have been carried out, or may be carried out later, even
// after newer tries. What the server answers to one try says nothing of the others.
package delivery

// Reply is what came back for one try of a call.
type Reply uint8

// The replies.
const (
	// NoReply means that no answer came, or one that does not tell whether the call was carried out.
	NoReply Reply = iota
	// NotDelivered means that nothing listened at the server's address, so that this try will never be carried out.
	NotDelivered
	// Declined means that the server has answered that it has done nothing for this try, and will do nothing.
	Declined
	// Confirmed means that the server has answered that the call is carried out.
	Confirmed

	replyCount = iota
)

// State is what is known of all tries of a call together.
type State uint8

// The states.
const (
	// Unsent means that no try was sent.
	Unsent State = iota
	// Refused means that each try was declined or not delivered.
	Refused
	// Unknown means that a try got no reply, and none was confirmed.
	Unknown
	// Answered means that a try was confirmed.
	Answered
	// Sent means that the reply to a try is still to come, and that none before it is unknown or confirmed.
	Sent

	stateCount = iota
)

var stateNames = [stateCount]string{"unsent", "refused", "unknown", "answered", "sent"}

// String returns the name of the state in log lines.
func (s State) String() string { return stateNames[s] }

// afterReply has the state that follows from the replies so far and the next one. A try that may be carried out is never
// forgotten: only a confirmation leaves the state Unknown, since a try that is declined or not delivered tells nothing of
// another one.
var afterReply = [...][replyCount]State{
	Unsent:   {NoReply: Unknown, NotDelivered: Refused, Declined: Refused, Confirmed: Answered},
	Refused:  {NoReply: Unknown, NotDelivered: Refused, Declined: Refused, Confirmed: Answered},
	Unknown:  {NoReply: Unknown, NotDelivered: Unknown, Declined: Unknown, Confirmed: Answered},
	Answered: {NoReply: Answered, NotDelivered: Answered, Declined: Answered, Confirmed: Answered},
}

// Call is what is known of one call. The zero value is a start that was not sent.
type Call struct {
	kind Kind
	// state is what the replies so far say. inFlight is the number of tries whose reply is still to come.
	state    State
	inFlight int
	// unanswered is the number of tries that got no reply.
	unanswered int
}

// NewCall returns a call of a kind that was not sent.
func NewCall(k Kind) Call { return Call{kind: k} }

// Send records that a try is sent.
func (c *Call) Send() {
	c.inFlight++
}

// Record records the reply to a try.
func (c *Call) Record(r Reply) {
	c.state = afterReply[c.state][r]
	c.inFlight = max(0, c.inFlight-1)

	if r == NoReply {
		c.unanswered++
	}
}

// Confirm records that the call is known to be carried out, other than by a reply.
func (c *Call) Confirm() { c.state = Answered }

// State returns what is known of all tries together.
func (c *Call) State() State {
	if c.inFlight > 0 && (c.state == Unsent || c.state == Refused) {
		return Sent
	}

	return c.state
}

// Claim returns what may be told of the work that the call is about.
func (c *Call) Claim() Claim { return claims[c.kind][c.State()] }

// Settled reports whether each try has got a reply, so that none of them can be carried out later.
func (c *Call) Settled() bool { return c.inFlight == 0 && c.unanswered == 0 }

// Unanswered returns the number of tries that got no reply.
func (c *Call) Unanswered() int { return c.unanswered }
