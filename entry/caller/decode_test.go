package caller_test

import (
	"bytes"
	"encoding/base64"
	"encoding/json"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/skylarkweir/skylarkweir/entry/caller"
	"github.com/skylarkweir/skylarkweir/weir/request/fault"
	"github.com/skylarkweir/skylarkweir/weir/request/ticket"
)

// Guards against invalid bodies that are accepted, and against errors that omit the field, its value or the allowed
// range.
func TestDecodeBodyRefuses(t *testing.T) {
	for _, c := range []struct{ form, body, field, want string }{
		{"job", ``, "", "the body is empty; it must be a JSON object"},
		{"job", `[]`, "", "the body is []; it must be a JSON object"},
		{"job", `{"kind":"k","tasks":[{"input":""}]`, "", "not valid JSON"},
		{"job", `{"kind":"k","tasks":[{"input":""}]} x`, "", "followed by other text"},
		{"job", `{"kind":"k","tasks":[{"input":""}],"Wait":true}`, "Wait", "Wait is not a field of a job"},
		{"job", `{"kind":"k","tasks":[{"input":""}],"repeatable":true}`, "repeatable", "not a field of a job"},
		{"job", `{"kind":"k","kind":"l","tasks":[{"input":""}]}`, "kind", "given twice"},
		{"job", `{"tasks":[{"input":""}]}`, "kind", "kind is missing"},
		{"job", `{"kind":"k"}`, "tasks", "tasks is missing"},
		{"job", `{"kind":"","tasks":[{"input":""}]}`, "kind", `kind is ""; it must be a string of 1 to 64 bytes`},
		{"job", `{"kind":7,"tasks":[{"input":""}]}`, "kind", "kind is 7"},
		{"job", `{"kind":null,"tasks":[{"input":""}]}`, "kind", "kind is null"},
		{"job", `{"kind":"k","tasks":{}}`, "tasks", "tasks is {}; it must be an array of 1 to 3 tasks"},
		{"job", `{"kind":"k","tasks":[]}`, "tasks", "tasks has 0 elements, 1 to 3 are allowed"},
		{"job", `{"kind":"k","tasks":[{"input":""},{"input":""},{"input":""},{"input":""}]}`, "tasks", "more than 3 elements"},
		{"job", `{"kind":"k","tasks":[{}]}`, "tasks[0].input", "is missing"},
		{"job", `{"kind":"k","tasks":[{"input":"","x":1}]}`, "tasks[0].x", "not a field of a task"},
		{"job", `{"kind":"k","tasks":[{"input":""},{"input":"","input":""}]}`, "tasks[1].input", "given twice"},
		{"job", `{"kind":"k","tasks":[{"input":"AA"}]}`, "tasks[0].input", `is "AA"; it must be a base64 string with padding`},
		{"job", `{"kind":"k","tasks":[{"input":"AB=="}]}`, "tasks[0].input", "base64"},
		{"job", `{"kind":"k","tasks":[{"input":"AAAA\nAAAA"}]}`, "tasks[0].input", "base64"},
		{"job", `{"kind":"k","tasks":[{"input":5}]}`, "tasks[0].input", "is 5; it must be a base64 string"},
		{"job", `{"kind":"k","tasks":[{"input":""}],"cores":0}`, "cores", "cores is 0; it must be an integer from 1 to 1024"},
		{"job", `{"kind":"k","tasks":[{"input":""}],"cores":1025}`, "cores", "cores is 1025"},
		{"job", `{"kind":"k","tasks":[{"input":""}],"cores":1.5}`, "cores", "cores is 1.5"},
		{"job", `{"kind":"k","tasks":[{"input":""}],"cores":"2"}`, "cores", `cores is "2"`},
		{"job", `{"kind":"k","tasks":[{"input":""}],"memory_mb":-1}`, "memory_mb", "from 0 to 1048576"},
		{"job", `{"kind":"k","tasks":[{"input":""}],"deadline_ms":0}`, "deadline_ms", "from 1 to 120000"},
		{"job", `{"kind":"k","tasks":[{"input":""}],"deadline_ms":120001}`, "deadline_ms", "deadline_ms is 120001"},
		{"job", `{"kind":"k","tasks":[{"input":""}],"deadline_ms":1e99}`, "deadline_ms", "deadline_ms is 1e99"},
		{"job", `{"kind":"k","tasks":[{"input":""}],"wait":"no"}`, "wait", `wait is "no"; it must be true or false`},
		{"request", `{"kind":"k","tasks":[{"input":""}]}`, "tasks", "not a field of a request"},
		{"request", `{"kind":"k"}`, "input", "input is missing"},
		{"request", `{"kind":"k","input":"","repeatable":1}`, "repeatable", "repeatable is 1"},
	} {
		t.Run(c.body, func(t *testing.T) {
			is := is.New(t)
			_, err := caller.DecodeBody(c.form, []byte(c.body), 3)
			is.Equal(fault.KindOf(err), fault.InvalidRequest)
			is.Equal(fault.FieldOf(err), c.field)

			if !strings.Contains(err.Error(), c.want) {
				t.Fatalf("error %q does not contain %q", err, c.want)
			}
		})
	}
}

// Guards against defaults and decoded values that do not reach the submission.
func TestDecodeBodyKeepsValues(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)

	b, err := caller.DecodeBody("job", []byte(`{"kind":"k","tasks":[{"input":"YQ=="},{"input":"\/\/\/\/"}]}`), 3)
	is.NoErr(err)

	s := b.Submission("id", ticket.Ticket{}, now)
	is.Equal(s.Inputs(), [][]byte{[]byte("a"), {255, 255, 255}})
	is.Equal(s.Cores(), 1)
	is.Equal(s.Deadline(), now.Add(30*time.Second))
	is.True(b.Wait())
	is.True(!s.Form().Repeatable())

	b, err = caller.DecodeBody("request", []byte(`{"kind":"k","input":"","repeatable":true,"cores":4,"memory_mb":9,"deadline_ms":120000,"wait":false}`), 3)
	is.NoErr(err)

	s = b.Submission("id", ticket.Ticket{}, now)
	is.True(s.Form().Repeatable())
	is.Equal([]int{s.Cores(), s.MemoryMB(), len(s.Inputs())}, []int{4, 9, 1})
	is.Equal(s.Deadline(), now.Add(2*time.Minute))
	is.True(!b.Wait())
}

// Guards against panics on malformed input, and against accepted bodies that encoding/json decodes differently.
func FuzzDecodeBody(f *testing.F) {
	f.Add([]byte(`{"kind":"k","tasks":[{"input":"YQ=="}],"cores":2}`))
	f.Add([]byte(`{"kind":"\u006b","tasks":[{"input":"\u0059Q=="}],"wait":false}`))
	f.Add([]byte(`{"kind":"k","tasks":[{"input":""}],"kind":"l"}`))
	f.Add([]byte(`{"a":{"b":[1,2,{}]}}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		b, err := caller.DecodeBody("job", data, 10)
		if err != nil {
			if fault.KindOf(err) != fault.InvalidRequest {
				t.Fatalf("error kind %v", fault.KindOf(err))
			}

			return
		}

		var plain struct {
			Kind  string `json:"kind"`
			Tasks []struct {
				Input string `json:"input"`
			} `json:"tasks"`
		}

		if err := json.Unmarshal(data, &plain); err != nil {
			t.Fatalf("accepted a body that encoding/json refuses: %v", err)
		}

		s := b.Submission("id", ticket.Ticket{}, time.Now())
		if s.Kind() != plain.Kind || len(s.Inputs()) != len(plain.Tasks) {
			t.Fatalf("kind %q with %d tasks, want %q with %d", s.Kind(), len(s.Inputs()), plain.Kind, len(plain.Tasks))
		}

		for i, task := range plain.Tasks {
			want, err := base64.StdEncoding.DecodeString(task.Input)
			if err != nil || !bytes.Equal(s.Inputs()[i], want) {
				t.Fatalf("task %d has input %x, want %x, %v", i, s.Inputs()[i], want, err)
			}
		}
	})
}

const (
	// A body may allocate a fixed amount, an amount for each of its tasks, and an amount for each of its bytes, garbage included.
	fixedBytes, taskBytes, allocatedMultiple = 64 << 10, 4 << 10, 16
	maxDecodedTasks                          = 1000
)

// Guards against bodies of legal size that need many times their size in memory.
func FuzzDecodeMemory(f *testing.F) {
	const legalBytes = 256 << 10

	for _, field := range []string{`{"input":""},`, `{},`, `0,`} {
		f.Add([]byte(`{"kind":"k","tasks":[` + strings.Repeat(field, legalBytes/len(field)) + `{"input":""}]}`))
	}

	f.Add([]byte(`{"kind":"k","tasks":[{"input":"` + strings.Repeat("A", legalBytes) + `"}]}`))
	f.Add([]byte(`{"a":` + strings.Repeat(`[`, legalBytes)))
	f.Add([]byte(`{` + strings.Repeat(`"wait":true,`, legalBytes/12)))

	f.Fuzz(func(t *testing.T, data []byte) {
		var before, after runtime.MemStats

		runtime.ReadMemStats(&before)
		_, _ = caller.DecodeBody("job", data, maxDecodedTasks)
		runtime.ReadMemStats(&after)

		n := after.TotalAlloc - before.TotalAlloc
		if n > fixedBytes+maxDecodedTasks*taskBytes+allocatedMultiple*uint64(len(data)) {
			t.Fatalf("%d bytes allocated for a body of %d", n, len(data))
		}
	})
}
