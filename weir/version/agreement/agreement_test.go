package agreement_test

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/skylarkweir/skylarkweir/weir/request/fault"
	"github.com/skylarkweir/skylarkweir/weir/version/agreement"
)

// digest is the SHA-256 of "token".
const digest = "3c469e9d6c5875d37a43f353d4f88e61fcf812c66eee3457465a40b0da4153e0"

var otherDigest = strings.Repeat("0", len(digest))

func agreementText(member string) string {
	return `// The members.
{
  "agreement": "ruderwerk",
  "members": [
    ` + member + `,
  ],
}`
}

func serviceText(name string, kinds ...string) string {
	return fmt.Sprintf("{\n  \"service\": %q,\n  \"kinds\": [\n%s\n  ],\n}", name, strings.Join(kinds, ",\n"))
}

func writeFiles(t *testing.T, files map[string]string) string {
	t.Helper()

	dir := t.TempDir()

	for name, text := range files {
		path := filepath.Join(dir, name)
		if err := os.MkdirAll(filepath.Dir(path), 0o700); err != nil {
			t.Fatal(err)
		}

		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}

	return dir
}

// Guards against a canonical form that differs from the operators' files, and against equal agreements whose bytes
// differ.
func TestLoadDir(t *testing.T) {
	is := is.New(t)
	dir := writeFiles(t, map[string]string{
		"agreement.weir.jsonc": agreementText(
			`{"name": "salzach", "limit_percent": 12.5, "credential_sha256": "` + digest + `"},
    {"name": "hollow", "limit_slots": 40, "credential_sha256": "` + otherDigest + `"}`,
		),
		"stock/service.weir.jsonc": serviceText("stock", `{"name": "stock-check", "share_percent": 30, "urgent": true}`),
		"deep/blades/service.weir.jsonc": serviceText("blades",
			`{"name": "blade-fit", "share_percent": 60, "max_cores": 8}`, `{"name": "blade-scan", "share_percent": 10}`),
		".hidden/service.weir.jsonc": "not read",
		"stock/other.jsonc":          "not read",
	})

	a, err := agreement.LoadDir(dir)
	is.NoErr(err)

	b, err := agreement.Parse(a.Marshal())
	is.NoErr(err)
	is.Equal(string(a.Marshal()), string(b.Marshal()))

	is.Equal(b.Name(), "ruderwerk")
	is.Equal(len(b.Members()), 2)
	is.Equal(len(b.Kinds()), 3)

	k, ok := b.Kind("stock-check")
	is.True(ok)
	is.Equal([]any{k.Service(), k.SharePercent(), k.Urgent(), k.MaxCores()}, []any{"stock", 30, true, 1})

	m, ok := b.MemberByToken("token")
	is.True(ok)
	is.Equal(m.Name(), "salzach")

	_, ok = b.MemberByToken("")
	is.True(!ok)
}

// Guards against a member whose limit exceeds the agreed one because of rounding, or exceeds the size of a small fleet.
func TestLimits(t *testing.T) {
	is := is.New(t)
	a, err := agreement.Parse([]byte(`{"agreement":"a","kinds":[{"name":"k","service":"s","share_percent":1,"max_cores":8}],"members":[
		{"name":"percent","limit_percent":0.5,"credential_sha256":"` + digest + `"},
		{"name":"slots","limit_slots":40,"credential_sha256":"` + otherDigest + `"}]}`))
	is.NoErr(err)

	percent, _ := a.Member("percent")
	slots, _ := a.Member("slots")

	for _, c := range []struct {
		m                         agreement.Member
		fleet, limit, wantGranule int
	}{
		{percent, 0, 0, 0}, {percent, 399, 1, 1}, {percent, 690 * 64, 220, 8}, {percent, -1, 0, 0},
		{slots, 0, 0, 0}, {slots, 4, 4, 4}, {slots, 1000, 40, 8},
	} {
		is.Equal(c.m.Limit(c.fleet), c.limit)
		is.Equal(a.Granule(c.m, c.fleet), c.wantGranule)
	}

	zero := &agreement.Agreement{}
	is.Equal(len(zero.Members())+len(zero.Kinds()), 0)
	_, ok := zero.MemberByToken("token")
	is.True(!ok)
}

// Guards against an operator's mistake that is accepted, or that is reported without its location and the allowed
// values.
func TestInvalidFiles(t *testing.T) {
	member := func(rest string) string { return `{"name": "a", ` + rest + `}` }
	credential := `"credential_sha256": "` + digest + `"`
	good := member(credential + `, "limit_slots": 1`)
	kind := `{"name": "k", "share_percent": 50}`

	for name, c := range map[string]struct {
		members string
		kinds   []string
		want    string
	}{
		"unknown key": {
			member(credential + `, "limit_slots": 1, "colour": 2`), nil,
			"agreement.weir.jsonc:5: members[0].colour: this key is not allowed",
		},
		"both limits": {
			member(credential + `, "limit_slots": 1, "limit_percent": 2`), nil,
			"members[0].limit_slots: this combination is not allowed",
		},
		"no limit": {member(credential), nil, "exactly one of limit_slots and limit_percent"},
		"percent too large": {
			member(credential + `, "limit_percent": 100.01`), nil,
			"agreement.weir.jsonc:5: members[0].limit_percent: 100.01 is not allowed; allowed: numbers from 0.01 to 100",
		},
		"percent as text": {
			member(credential + `, "limit_percent": "5"`), nil,
			`members[0].limit_percent: "5" is not allowed`,
		},
		"three decimals": {member(credential + `, "limit_percent": 0.001`), nil, "at most two decimals"},
		"zero slots":     {member(credential + `, "limit_slots": 0`), nil, "whole numbers from 1 to 1000000"},
		"short credential": {
			member(`"limit_slots": 1, "credential_sha256": "ab"`), nil,
			"64 lower-case hexadecimal digits",
		},
		"no credential": {member(`"limit_slots": 1`), nil, "members[0].credential_sha256: (missing) is not allowed"},
		"duplicate member": {
			good + `, ` + good, nil,
			"members[1].name: \"a\" is not allowed; allowed: values used once; this one is used at ",
		},
		"duplicate key": {member(credential + `, "limit_slots": 1, "limit_slots": 2`), nil, "each key once"},
		"bad name": {
			`{"name": "A b", "limit_slots": 1, ` + credential + `}`, nil,
			`members[0].name: "A b" is not allowed; allowed: a name of 1 to 40`,
		},
		"long name": {
			`{"name": "` + strings.Repeat("a", 41) + `", "limit_slots": 1, ` + credential + `}`, nil,
			"a name of 1 to 40",
		},
		"not an object": {`5`, nil, "members[0].(whole): 5 is not allowed; allowed: an object"},
		"syntax":        {`{"name" "a"}`, nil, "agreement.weir.jsonc: line 5, column"},
		"share too large": {
			good, []string{`{"name": "k", "share_percent": 101}`},
			"service.weir.jsonc:4: kinds[0].share_percent: 101 is not allowed; allowed: whole numbers from 1 to 100",
		},
		"share not whole": {
			good, []string{`{"name": "k", "share_percent": 1.5}`},
			"kinds[0].share_percent: 1.5 is not allowed",
		},
		"share sum too high": {
			good, []string{kind, `{"name": "l", "share_percent": 51}`},
			"service.weir.jsonc:5: kinds[1].share_percent: 51 is not allowed; allowed: shares of all kinds that add up to at most 100; 50 are left",
		},
		"duplicate kind": {good, []string{kind, kind}, "kinds[1].name: \"k\" is not allowed"},
		"urgent as number": {
			good, []string{`{"name": "k", "share_percent": 1, "urgent": 1}`},
			"kinds[0].urgent: 1 is not allowed; allowed: true or false",
		},
		"too many cores": {
			good, []string{`{"name": "k", "share_percent": 1, "max_cores": 4096}`},
			"whole numbers from 1 to 1024",
		},
		"service in a kind": {
			good, []string{`{"name": "k", "share_percent": 1, "service": "x"}`},
			"kinds[0].service: this key is not allowed",
		},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			_, err := agreement.LoadDir(writeFiles(t, map[string]string{
				"agreement.weir.jsonc": agreementText(c.members),
				"service.weir.jsonc":   serviceText("s", c.kinds...),
			}))
			is.True(err != nil)
			is.Equal(fault.KindOf(err), fault.InvalidRequest)
			t.Log(err)
			is.True(strings.Contains(err.Error(), c.want)) // the error contains location, value and allowed values
		})
	}
}

// Guards against a missing or second agreement file that is accepted, against names that are used in two files, and
// against shares that exceed 100 % only across files.
func TestInvalidFileCombinations(t *testing.T) {
	good := agreementText(`{"name": "a", "limit_slots": 1, "credential_sha256": "` + digest + `"}`)
	kind := `{"name": "k", "share_percent": 60}`

	for want, files := range map[string]map[string]string{
		"no file agreement.weir.jsonc found": {"service.weir.jsonc": serviceText("s", kind)},
		"a second agreement":                 {"agreement.weir.jsonc": good, "b/agreement.weir.jsonc": good},
		`service: "s" is not allowed`: {
			"agreement.weir.jsonc": good, "a/service.weir.jsonc": serviceText("s"),
			"b/service.weir.jsonc": serviceText("s"),
		},
		filepath.Join("b", "service.weir.jsonc:4: kinds[0].name: "): {
			"agreement.weir.jsonc": good, "a/service.weir.jsonc": serviceText("s", kind),
			"b/service.weir.jsonc": serviceText("t", kind),
		},
		"add up to at most 100; 40 are left": {
			"agreement.weir.jsonc": good, "a/service.weir.jsonc": serviceText("s", kind),
			"b/service.weir.jsonc": serviceText("t", kind),
		},
	} {
		t.Run(want, func(t *testing.T) {
			is := is.New(t)
			_, err := agreement.LoadDir(writeFiles(t, files))
			is.True(err != nil)
			t.Log(err)
			is.True(strings.Contains(err.Error(), want))
		})
	}
}

// Guards against input that crashes an operator's tool or every reader of the log, and against an accepted agreement
// whose canonical form does not parse to the same agreement.
func FuzzParse(f *testing.F) {
	f.Add([]byte(`{"agreement":"a","members":[{"name":"m","limit_percent":0.07,"credential_sha256":"` + digest + `"}],` +
		`"kinds":[{"name":"k","service":"s","share_percent":100,"urgent":true,"max_cores":2}]}`))
	f.Add([]byte(`{"agreement":"a","members":[],"kinds":[]}`))
	f.Add([]byte(`[]`))
	f.Add(bytes.Repeat([]byte("["), 1<<20))
	f.Add(bytes.Repeat([]byte("["), 50_000))
	f.Add(bytes.Repeat([]byte("["), 1<<20+1))
	f.Add([]byte(`{"agreement":"a",}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		a, err := agreement.Parse(data)
		if err != nil {
			return
		}

		b, err := agreement.Parse(a.Marshal())
		if err != nil {
			t.Fatalf("the canonical form does not parse: %v", err)
		}

		if string(a.Marshal()) != string(b.Marshal()) {
			t.Fatalf("the canonical form changed from %s to %s", a.Marshal(), b.Marshal())
		}

		sum := 0
		for _, k := range a.Kinds() {
			sum += k.SharePercent()
		}

		for _, m := range a.Members() {
			if l := m.Limit(1000); l < 0 || l > 1000 {
				t.Fatalf("limit of %d slots in a fleet of 1000", l)
			}
		}

		if sum > 100 {
			t.Fatalf("shares add up to %d", sum)
		}
	})
}
