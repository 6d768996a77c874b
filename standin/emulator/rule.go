package emulator

// Rule is one of Product, Windowed, Unlimited, Unordered, Unconfined and Separating. Compare prints the names of these types.
type Rule interface{ rule() }

// Product makes the decisions of the product unchanged.
type Product struct{}

// Windowed expects capacity to become free as fast as tasks were launched in the second before, and ends every wait for
// a first reservation after the maximum wait that admission returned.
type Windowed struct{}

// Unlimited admits every job, which then waits until its caller times out.
type Unlimited struct{}

// Unordered ignores priorities.
type Unordered struct{}

// Unconfined lets every kind use every backend server, whatever it crashes.
type Unconfined struct{}

// Separating learns which kinds slow each other down and keeps them apart where there is room, as the product does where
// that is set.
type Separating struct{}

func (Separating) rule() {}

func (Product) rule() {}

func (Windowed) rule() {}

func (Unlimited) rule() {}

func (Unordered) rule() {}

func (Unconfined) rule() {}
