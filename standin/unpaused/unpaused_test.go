package unpaused_test

import (
	"os/exec"
	"runtime"
	"testing"

	"github.com/matryer/is"

	"github.com/skylarkweir/skylarkweir/standin/unpaused"
)

// maxTries limits the tries to run a test without a pause of the process.
const maxTries = 100

// outerTest records whether the test that it stands for has failed.
type outerTest struct {
	testing.TB

	failed bool
	done   chan struct{}
}

func (o *outerTest) Fatalf(string, ...any) {
	o.failed = true

	runtime.Goexit()
}

func (o *outerTest) run(test func(testing.TB)) {
	defer close(o.done)

	unpaused.Run(o, test)
}

// fails reports whether a test fails.
func fails(t *testing.T, test func(testing.TB)) bool {
	t.Helper()

	o := &outerTest{TB: t, done: make(chan struct{})}
	go o.run(test)
	<-o.done

	return o.failed
}

// pause stops this process for a time longer than a session lasts.
func pause(t testing.TB) {
	t.Helper()

	stop := exec.CommandContext(t.Context(), "sh", "-c", "kill -STOP $PPID; sleep 0.6; kill -CONT $PPID")
	if err := stop.Run(); err != nil {
		t.Fatalf("stop this process: %v", err)
	}
}

// Guards against a failed test that is repeated until it passes although nothing has paused its process.
func TestFailureWithoutPauseIsFinal(t *testing.T) {
	for name, fail := range map[string]func(testing.TB){
		"by an assertion": func(t testing.TB) { is.New(t).True(false) },
		"by Errorf":       func(t testing.TB) { t.Errorf("failed") },
		"by Fatal":        func(t testing.TB) { t.Fatal("failed") },
	} {
		t.Run(name, func(t *testing.T) {
			attempts := 0

			// A busy machine may pause an attempt of this test too.
			for range maxTries {
				attempts = 0

				is.New(t).True(fails(t, func(t testing.TB) { attempts++; fail(t) }))

				if attempts == 1 {
					return
				}
			}

			t.Fatalf("a test that fails had %d attempts in the last of %d tries", attempts, maxTries)
		})
	}
}

// Guards against a test that fails because its process was paused, and against what an attempt leaves to the next one.
func TestFailureAfterPauseIsRepeated(t *testing.T) {
	is := is.New(t)
	attempts, cleanups := 0, 0

	is.True(!fails(t, func(t testing.TB) {
		is.Equal(cleanups, attempts)

		attempts++

		t.Cleanup(func() {
			is.True(t.Context().Err() != nil)

			cleanups++
		})

		if attempts == 1 {
			pause(t)
			t.Fatal("failed")
		}
	}))
	is.True(attempts > 1)
	is.Equal(cleanups, attempts)
}

// Guards against a test that is repeated without end.
func TestAttemptsAreLimited(t *testing.T) {
	is := is.New(t)
	attempts := 0

	is.True(fails(t, func(t testing.TB) {
		attempts++

		pause(t)
		t.Fatal("failed")
	}))
	is.Equal(attempts, 5)
}

// Guards against a test that passes although an attempt without a failure was paused and repeated.
func TestPassAfterPauseIsFinal(t *testing.T) {
	is := is.New(t)
	attempts := 0

	is.True(!fails(t, func(t testing.TB) {
		attempts++

		pause(t)
	}))
	is.Equal(attempts, 1)
}
