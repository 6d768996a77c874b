// Package stock is the example service that looks up stock and accepts orders.
package stock

import (
	"time"

	"github.com/skylarkweir/skylarkweir/standin/caller"
)

// The kinds of work in service.weir.jsonc.
const (
	LookupKind = "stock-lookup"
	OrderKind  = "stock-order"
)

const (
	lookupTime = 80 * time.Millisecond
	orderTime  = 120 * time.Millisecond
)

// Lookup returns a request that may run more than once.
func Lookup(article uint64) caller.Submission {
	return caller.NewRequest(LookupKind, true, caller.TaskInput(lookupTime, article, ""))
}

// Order returns a request that must not run more than once.
func Order(article uint64) caller.Submission {
	return caller.NewRequest(OrderKind, false, caller.TaskInput(orderTime, article, ""))
}
