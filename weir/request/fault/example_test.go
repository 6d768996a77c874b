package fault_test

import (
	"fmt"

	"github.com/skylarkweir/skylarkweir/weir/request/fault"
)

func ExampleMarshal() {
	err := fault.WithField(fault.New(fault.NeverRunnable, "a task asks for %d cores", 96), "cores")

	fmt.Println(fault.KindOf(err).Status(), fault.RanOf(err))
	fmt.Println(string(fault.Marshal(err, "")))
	// Output:
	// 422 none
	// {"error":{"code":"never_runnable","message":"a task asks for 96 cores","field":"cores","ran":"none"}}
}
