package retrybudget_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/skylarkweir/skylarkweir/weir/process/retrybudget"
)

// Guards against retries that amplify an overload: 1000 failing requests in 1 s get about 100 retries.
func TestRetriesAreAShareOfRequests(t *testing.T) {
	is := is.New(t)

	var b retrybudget.Budget

	now, retries := time.Unix(100, 0), 0
	for range 1000 {
		now = now.Add(time.Millisecond)
		b.RecordRequest(now)

		for b.AllowRetry(now) {
			retries++
		}
	}

	is.True(retries >= 100 && retries <= 103)
}

// Guards against a budget whose share is not the one that it was made with.
func TestShareOfABudgetIsItsOwn(t *testing.T) {
	is := is.New(t)

	b := retrybudget.New(2)

	now, retries := time.Unix(100, 0), 0
	for range 100 {
		now = now.Add(time.Millisecond)
		b.RecordRequest(now)

		for b.AllowRetry(now) {
			retries++
		}
	}

	is.True(retries >= 200 && retries <= 202)
}

// Guards against an entry with few requests that can never retry, and against a budget that grows without bound while
// idle.
func TestMinimumRateAndBurst(t *testing.T) {
	is := is.New(t)

	var b retrybudget.Budget

	now := time.Unix(100, 0)
	is.True(b.AllowRetry(now))
	is.True(!b.AllowRetry(now))
	is.True(b.AllowRetry(now.Add(time.Second)))

	now, retries := now.Add(time.Hour), 0
	for b.AllowRetry(now) {
		retries++
	}

	is.Equal(retries, 20)
}
