package cluster

import (
	"context"
	"os"
)

// TB is the part of testing.TB that NewForTest needs; it keeps package testing out of the demo's dependencies.
type TB interface {
	Helper()
	Context() context.Context
	Cleanup(f func())
	Failed() bool
	Fatalf(format string, args ...any)
	Logf(format string, args ...any)
	Name() string
}

// NewForTest returns a cluster that is closed at the end of the test. If the test has failed, it logs the last output
// lines of the processes.
func NewForTest(t TB) *Cluster {
	t.Helper()

	programs, err := SharedPrograms(t.Context())
	if err != nil {
		t.Fatalf("%v", err)
	}

	directory, err := os.MkdirTemp("", "skylarkweir-cluster-")
	if err != nil {
		t.Fatalf("%v", err)
	}

	c, err := New(programs, directory)
	if err != nil {
		t.Fatalf("%v", err)
	}

	t.Cleanup(func() {
		c.Close()

		if t.Failed() {
			c.WriteTails(testWriter{t})
		}

		_ = os.RemoveAll(directory)
	})

	return c
}

type testWriter struct{ t TB }

func (w testWriter) Write(text []byte) (int, error) {
	w.t.Logf("%s", text)

	return len(text), nil
}
