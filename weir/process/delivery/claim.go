package delivery

// Kind is what a call asks the server for.
type Kind uint8

// The kinds.
const (
	// Start asks to start a task. It is answered at once; the end of the task is told by a list.
	Start Kind = iota
	// Stop asks to end a run, and to reject each start of it that is carried out later.
	Stop
	// Renewal asks to extend the lease of the runs at the server, acknowledges ends that are handled, and asks for the
	// list of runs.
	Renewal
	// Execution asks to run a task. It is answered with the output when the task ends.
	Execution

	kindCount = iota
)

// Claim is what may be told of the work that a call is about.
type Claim uint8

// The claims.
const (
	// MayRun means that the work may run now or later: it has to be stopped, or seen to have ended, before another server
	// may be given it and before anyone is told that it did not run.
	MayRun Claim = iota
	// NeverRan means that nothing of it ran or will run: another server may be given it at once.
	NeverRan
	// IsEnding means that the work does not begin any more. It is over once a list that was asked for afterwards does not
	// have it.
	IsEnding
	// HasEnded means that the work is over.
	HasEnded
	// MayBeExtended means that the lease may last until the highest end that was sent, and that nothing is known of the
	// runs. Ends that the call acknowledged may be listed again or not; they are handled, so that either does no harm.
	MayBeExtended
	// NotExtended means that the call did not extend the lease. Another call may have.
	NotExtended
	// Extended means that the lease lasts until the end that was sent or a later one, and that the list of runs is that of
	// a time after the call was sent.
	Extended
)

// claims has what may be told by kind and state.
var claims = [kindCount][stateCount]Claim{
	Start: {
		Unsent:   NeverRan, // the server has not heard of the work
		Sent:     MayRun,   // the try may be carried out before its answer arrives
		Refused:  NeverRan, // the server has said of each try that it did nothing, or did not get it
		Unknown:  MayRun,   // a try may have been carried out, or may be later
		Answered: MayRun,   // the work began; only the list of ended runs tells that it is over
	},
	Stop: {
		Unsent:   MayRun,   // nobody has asked the server to end the run
		Sent:     MayRun,   // the run goes on until the try is carried out
		Refused:  MayRun,   // the server did nothing about the run, or did not get the try
		Unknown:  MayRun,   // a try may not have been carried out
		Answered: IsEnding, // the server ends the run and rejects a start of it that is carried out late
	},
	Renewal: {
		Unsent:   NotExtended,   // the server has not heard of a later end
		Sent:     MayBeExtended, // the try may be carried out before its answer arrives
		Refused:  NotExtended,   // the server has said of each try that it did nothing, or did not get it; there is no list
		Unknown:  MayBeExtended, // a try may have been carried out, or may be later; its list is lost
		Answered: Extended,      // the lease never becomes shorter, so that a try that is carried out late takes nothing back
	},
	Execution: {
		Unsent:   NeverRan, // the server has not heard of the work
		Sent:     MayRun,   // the answer comes at the end of the work
		Refused:  NeverRan, // the request did not leave, or nothing listened
		Unknown:  MayRun,   // the request may have arrived, and the server may not have noticed that nobody waits
		Answered: HasEnded, // the server answers at the end of the work, whatever its result
	},
}
