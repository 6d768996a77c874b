package capacity

import (
	"context"
	"crypto/sha256"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/skylarkweir/skylarkweir/weir/connection/quic"
	"github.com/skylarkweir/skylarkweir/weir/connection/wire"
)

// Sizes, racks, failure domains and intervals as real sidecars have them.
const (
	workerSlots        = 64
	workerMemoryMB     = 256 << 10
	failureDomains     = 6
	workersPerRack     = 3
	heartbeatInterval  = time.Second
	leaseRenewInterval = 500 * time.Millisecond
)

// FakeSidecars are the sidecars of one real entry. They share one socket. They complete every task at once, with its
// input as output.
type FakeSidecars struct {
	node         quic.Node
	entryAddress string

	mu       sync.Mutex
	sidecars []*fakeSidecar
}

// fakeSidecar is one sidecar with its connection to the entry.
type fakeSidecar struct {
	worker     *wire.Worker
	connection *quic.Conn
	control    *quic.Stream
	stop       context.CancelFunc
	sequence   atomic.Uint64
	// renewedAt is when the latest heartbeat or lease-renewing reply was sent, in nanoseconds since the Unix epoch.
	renewedAt atomic.Int64
	position  atomic.Int64
}

// newWorker returns the worker with the index i. The workers spread over the failure domains in turn.
func newWorker(i int) *wire.Worker {
	return wire.Worker_builder{
		Name: fmt.Sprintf("fake-%04d", i), Incarnation: rand.Uint64() | 1, //nolint:gosec // no secret
		Slots: workerSlots, MemoryMb: workerMemoryMB,
		FailureDomain: fmt.Sprintf("domain-%d", i%failureDomains), Rack: fmt.Sprintf("rack-%03d", i/workersPerRack),
	}.Build()
}

// GrowTo connects and registers sidecars until there are n.
func (s *FakeSidecars) GrowTo(ctx context.Context, n int) error {
	const maxConcurrent = 16

	var (
		group      sync.WaitGroup
		firstError atomic.Pointer[error]
	)

	semaphore := make(chan struct{}, maxConcurrent)

	for i := len(s.sidecars); i < n; i++ {
		semaphore <- struct{}{}

		group.Go(func() {
			defer func() { <-semaphore }()

			if err := s.connect(ctx, i); err != nil {
				firstError.CompareAndSwap(nil, &err)
			}
		})
	}

	group.Wait()

	if err := firstError.Load(); err != nil {
		return *err
	}

	return nil
}

func (s *FakeSidecars) connect(ctx context.Context, i int) error {
	c, err := s.node.Dial(ctx, s.entryAddress)
	if err != nil {
		return err
	}

	f := &fakeSidecar{worker: newWorker(i), connection: c}

	if f.control, err = c.Open(ctx); err != nil {
		return err
	}

	hello := wire.Hello_builder{Role: wire.Role_ROLE_SIDECAR, Worker: f.worker}.Build()
	if err := f.control.Send(wire.Frame_builder{Hello: hello}.Build()); err != nil {
		return err
	}

	if _, err := f.control.Receive(); err != nil {
		return err
	}

	// The connection is used after the end of the caller's context.
	ctx, f.stop = context.WithCancel(context.WithoutCancel(ctx))

	go f.sendHeartbeats(ctx)
	go f.receiveRecords()
	go f.acceptStarts(ctx)

	r, err := c.RoundTrip(ctx, wire.Frame_builder{Register: wire.Register_builder{Worker: f.worker}.Build()}.Build())
	if err != nil {
		return err
	}

	if !r.GetRegisterReply().GetOk() {
		return merry.Errorf(
			"entry refused the registration of %s: %s", f.worker.GetName(), r.GetRegisterReply().GetMessage())
	}

	s.mu.Lock()
	defer s.mu.Unlock()

	s.sidecars = append(s.sidecars, f)

	return nil
}

// CountReached returns the number of sidecars that have received the log up to the position.
func (s *FakeSidecars) CountReached(position int64) int {
	s.mu.Lock()
	defer s.mu.Unlock()

	n := 0

	for _, f := range s.sidecars {
		if f.position.Load() >= position {
			n++
		}
	}

	return n
}

// StopLast makes the last n sidecars unresponsive without closing their connections, as the loss of a failure domain
// does.
func (s *FakeSidecars) StopLast(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()

	for _, f := range s.sidecars[len(s.sidecars)-n:] {
		f.stop()
	}
}

// Close stops all sidecars and closes their socket.
func (s *FakeSidecars) Close() error {
	for _, f := range s.sidecars {
		f.stop()
	}

	return s.node.Close()
}

func (f *fakeSidecar) newLoad(sequence uint64) *wire.Load {
	return wire.Load_builder{Sequence: sequence, Slots: workerSlots}.Build()
}

func (f *fakeSidecar) sendHeartbeats(ctx context.Context) {
	timer := time.NewTimer(rand.N(heartbeatInterval)) //nolint:gosec // no secret
	defer timer.Stop()

	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		}

		if rest := heartbeatInterval - time.Since(time.Unix(0, f.renewedAt.Load())); rest > 0 {
			timer.Reset(rest)

			continue
		}

		f.renewedAt.Store(time.Now().UnixNano())
		n := f.sequence.Add(1)
		h := wire.Heartbeat_builder{
			Sequence: n, LeaseEpoch: 1, Load: f.newLoad(n), Position: f.position.Load(), RegisteredPlusOne: 1,
		}.Build()

		if f.control.Send(wire.Frame_builder{Heartbeat: h}.Build()) != nil {
			return
		}

		timer.Reset(heartbeatInterval)
	}
}

func (f *fakeSidecar) receiveRecords() {
	for {
		in, err := f.control.Receive()
		if err != nil {
			return
		}

		if r := in.GetRecords(); r != nil {
			f.position.Store(max(r.GetThrough(), r.GetSnapshotPosition(), f.position.Load()))
		}
	}
}

func (f *fakeSidecar) acceptStarts(ctx context.Context) {
	for {
		s, err := f.connection.Accept(ctx)
		if err != nil {
			return
		}

		go f.serveStart(s)
	}
}

func (f *fakeSidecar) serveStart(s *quic.Stream) {
	defer s.Close()

	in, err := s.Receive()
	if err != nil || !in.HasStart() {
		return
	}

	digest := sha256.Sum256(in.GetStart().GetInput())
	n := f.sequence.Add(1)
	r := wire.StartReply_builder{
		Id: in.GetStart().GetId(), Load: f.newLoad(n),
		Completed: wire.Completed_builder{Output: in.GetStart().GetInput(), Digest: digest[:], RunUs: 1}.Build(),
	}.Build()

	now, last := time.Now().UnixNano(), f.renewedAt.Load()
	if now-last > int64(leaseRenewInterval) && f.renewedAt.CompareAndSwap(last, now) {
		r.SetHeartbeatSequence(n)
		r.SetLeaseEpoch(1)
		r.SetPosition(f.position.Load())
	}

	if s.Send(wire.Frame_builder{StartReply: r}.Build()) == nil {
		_, _ = s.Receive()
	}
}
