package capacity

import (
	"context"
	"fmt"
	"time"

	"github.com/skylarkweir/skylarkweir/weir/connection/quic"
	"github.com/skylarkweir/skylarkweir/weir/connection/session"
	"github.com/skylarkweir/skylarkweir/weir/connection/wire"
)

const (
	// callConcurrency is the number of tasks that run at one time, and workerCores what the backend server has for them.
	callConcurrency = 4
	workerCores     = 2 * callConcurrency
	// callInput is the input of a task, which runs for that long.
	callInput = "2ms"
	// callExpectedMS is the expected run time of a task. It keeps tasks from counting as overdue.
	callExpectedMS = 100
	millicores     = 1000
)

// callEntry is an entry that has callConcurrency tasks run at one sidecar at any time.
type callEntry struct {
	node    quic.Node
	session *session.Session
	// jobs is the number of jobs so far. It changes in the goroutine of the session only.
	jobs uint64
}

// accept accepts the session of the sidecar.
func (e *callEntry) accept(ctx context.Context) error {
	c, err := e.node.Accept(ctx)
	if err != nil {
		return err
	}

	s, err := c.Accept(ctx)
	if err != nil {
		return err
	}

	if _, err := s.Receive(); err != nil {
		return err
	}

	e.session = session.New(c, s)
	e.session.Send(wire.Frame_builder{Attached: wire.Attached_builder{Entry: "entry"}.Build()}.Build())

	return nil
}

// run requests tasks until the context ends.
func (e *callEntry) run(ctx context.Context) {
	for range callConcurrency {
		e.request()
	}

	sender := &keepAliveLoop{e.session}
	go sender.run(ctx)

	e.session.Run(ctx, e.receive)
}

func (e *callEntry) request() {
	e.jobs++
	e.session.Send(wire.Frame_builder{Reserve: wire.Reserve_builder{
		Job: e.jobs, Tasks: 1, Cpu: millicores, Memory: 1, PatienceMs: 60_000, ExpectedMs: callExpectedMS, NeededPermille: 1000,
	}.Build()}.Build())
}

func (e *callEntry) receive(f *wire.Frame) {
	switch {
	case f.HasReserved():
		n := f.GetReserved().GetJob()
		e.session.Send(wire.Frame_builder{Launch: wire.Launch_builder{
			Job: n, Name: fmt.Sprintf("job-%d", n), Indices: []uint32{0}, Input: callInput, ExpectedMs: callExpectedMS,
		}.Build()}.Build())
	case f.HasEnded():
		e.request()
	}
}

// keepAliveLoop keeps a session alive.
type keepAliveLoop struct{ session *session.Session }

func (k *keepAliveLoop) run(ctx context.Context) {
	t := time.NewTicker(session.KeepAliveInterval)
	defer t.Stop()

	for {
		select {
		case <-t.C:
			k.session.Send(wire.Frame_builder{KeepAlive: &wire.KeepAlive{}}.Build())
		case <-ctx.Done():
			return
		}
	}
}
