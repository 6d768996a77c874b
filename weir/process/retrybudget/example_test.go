package retrybudget_test

import (
	"fmt"
	"time"

	"github.com/skylarkweir/skylarkweir/weir/process/retrybudget"
)

// Of 95 requests that fail at the same time, a tenth may be retried, in addition to the one retry that the budget
// starts with.
func ExampleBudget() {
	var (
		budget retrybudget.Budget
		now    = time.Unix(1000, 0)
	)

	for range 95 {
		budget.RecordRequest(now)
	}

	retries := 0
	for budget.AllowRetry(now) {
		retries++
	}

	fmt.Println(retries)
	// Output:
	// 10
}
