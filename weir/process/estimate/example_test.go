package estimate_test

import (
	"fmt"
	"time"

	"github.com/skylarkweir/skylarkweir/weir/process/estimate"
)

func ExampleRunTimes() {
	var runs estimate.RunTimes

	fmt.Println("unknown:", runs.P90("check", time.Now()))

	for range 100 {
		runs.Observe("check", 80*time.Millisecond)
	}

	fmt.Println("nine of ten end within", runs.P90("check", time.Now()))
	// Output:
	// unknown: 0s
	// nine of ten end within 80ms
}
