package routes_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/skylarkweir/skylarkweir/weir/version/routes"
)

// Guards against a read that waits so long that an entry whose connections have gone silent has no news for longer than
// it may.
func TestReadWaitLeavesTimeForARetry(t *testing.T) {
	is := is.New(t)

	const callTimeout = 700 * time.Millisecond

	for _, recovery := range []time.Duration{2500 * time.Millisecond, 3 * time.Second, 4 * time.Second, 5 * time.Second, 9 * time.Second} {
		firstFailure := routes.ReadWait(recovery, callTimeout) + callTimeout
		is.True(firstFailure+callTimeout < recovery)
	}

	is.True(routes.ReadWait(0, callTimeout) > 0)
}
