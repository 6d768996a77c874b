package agreement_test

import (
	"fmt"

	"github.com/skylarkweir/skylarkweir/weir/version/agreement"
)

func ExampleParse() {
	a, err := agreement.Parse([]byte(`{
		"agreement": "workshop",
		"members": [{
			"name": "shop", "limit_percent": 25,
			"credential_sha256": "3c469e9d6c5875d37a43f353d4f88e61fcf812c66eee3457465a40b0da4153e0"
		}],
		"kinds": [
			{"name": "quote", "service": "prices", "share_percent": 40, "urgent": true, "max_cores": 2},
			{"name": "batch", "service": "prices", "share_percent": 60, "urgent": false, "max_cores": 4}
		]
	}`))
	if err != nil {
		fmt.Println(err)

		return
	}

	m, found := a.MemberByToken("token")
	fmt.Println(m.Name(), found, "may hold", m.Limit(96), "of 96 slots")

	for _, k := range a.Kinds() {
		fmt.Println(k.Name(), k.SharePercent(), k.Urgent())
	}
	// Output:
	// shop true may hold 24 of 96 slots
	// batch 60 false
	// quote 40 true
}
