package settings_test

import (
	"fmt"
	"strings"

	"github.com/skylarkweir/skylarkweir/weir/process/settings"
)

// service is a settings struct whose tags describe its keys.
type service struct {
	Name  string            `json:"name" doc:"name of the service"`
	Wait  settings.Duration `json:"wait" doc:"longest wait" default:"250ms" range:"1ms..10s"`
	Cache settings.Bytes    `json:"cache" doc:"size of the cache" default:"96MB"`
}

func ExampleParse() {
	var s service

	err := settings.Parse("service.jsonc", []byte(`{
		"name": "prices", // comments are allowed
		"wait": "2s",
	}`), &s)
	fmt.Println(s.Name, s.Wait, s.Cache, err)

	err = settings.Parse("service.jsonc", []byte(`{"name": "prices", "wiat": "2s"}`), &s)
	fmt.Println(strings.Contains(err.Error(), "service.jsonc:1"))
	// Output:
	// prices 2s 96MB <nil>
	// true
}

func ExampleDescribe() {
	for _, k := range settings.Describe(service{}) {
		fmt.Println(k.Name(), k.Type(), k.Range(), k.Default(), k.Required())
	}
	// Output:
	// name text   true
	// wait duration 1ms..10s 250ms false
	// cache size  96MB false
}
