// Package blades is the example service that checks whether blades fit.
package blades

import (
	"time"

	"github.com/skylarkweir/skylarkweir/standin/caller"
)

// Kind is the kind of work in service.weir.jsonc.
const Kind = "blade-fit"

// checkTime is the run time of the check of one blade.
const checkTime = 100 * time.Millisecond

// Check returns a job that checks the given number of blades.
func Check(blades int) caller.Submission {
	inputs := make([][]byte, 0, blades)
	for i := range blades {
		inputs = append(inputs, caller.TaskInput(checkTime, uint64(i)+1, ""))
	}

	return caller.NewJob(Kind, inputs...)
}
