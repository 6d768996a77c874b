package cluster

import (
	"context"
	"os"
)

// TB is the part of testing.TB that ForTest needs, so that the demo does not depend on package testing.
type TB interface {
	Helper()
	Context() context.Context
	Cleanup(f func())
	Failed() bool
	Fatalf(format string, args ...any)
	Logf(format string, args ...any)
	Name() string
}

// ForTest returns a cluster that ends with the test, which logs the output of the processes if it has failed.
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
