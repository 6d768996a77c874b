package main

import (
	"context"
	"time"
)

const (
	// shrunkCPU is the capacity of a server after it has shrunk.
	shrunkCPU = 6000
	// shrinkTime is the time from the first report of the smaller capacity to the kill: the contact time and more than a beat.
	shrinkTime = 6 * time.Second
)

// shrink lets the capacity of servers that don't guard it shrink, kills the sidecars later, and checks that no start brings a
// server over its capacity.
func shrink(d *deployment, trouble bool) (bool, error) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()

	d.isUnguarded = true
	d.configure(9)

	_, servers, err := d.begin(ctx, 1)
	if err != nil {
		return false, err
	}

	for _, s := range servers {
		s.shrinkTo(shrunkCPU)
	}

	d.record.add("the capacity of all servers is %d thousandths of a core from now on, and they tell so", shrunkCPU)
	time.Sleep(shrinkTime)

	loadCtx, stop := context.WithCancel(ctx)
	defer stop()

	go func() {
		for loadCtx.Err() == nil {
			id := newID()
			go func() { d.record.add("job %s answered %d", id, d.submit(0, id, jobBody(6, 300*time.Millisecond, ""))) }()
			time.Sleep(30 * time.Millisecond)
		}
	}()

	time.Sleep(2 * time.Second)

	for _, p := range d.processes {
		if trouble && p.role == "sidecar" {
			if err := d.kill([]*process{p}, restartDelay); err != nil {
				return false, err
			}

			time.Sleep(2 * time.Second)
		}
	}

	time.Sleep(2 * time.Second)
	stop()
	time.Sleep(time.Second)

	held := true

	for _, s := range servers {
		if n := s.startsOverCapacity(); n > 0 {
			held = false
			d.record.add("%d starts brought %s over its capacity", n, s.id)
		}
	}

	return held, nil
}
