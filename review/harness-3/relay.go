package main

import (
	"net"
	"sync"
	"sync/atomic"
)

// relay passes datagrams between the processes and one entry on, unless the path is cut. A cut is silent.
type relay struct {
	listener *net.UDPConn
	target   *net.UDPAddr
	cut      atomic.Bool

	mu sync.Mutex
	// paths has the socket towards the entry for each process that sends, by address.
	paths map[string]*net.UDPConn
}

func newRelay(listen, target string) (*relay, error) {
	from, err := net.ResolveUDPAddr("udp", listen)
	if err != nil {
		return nil, err
	}

	to, err := net.ResolveUDPAddr("udp", target)
	if err != nil {
		return nil, err
	}

	l, err := net.ListenUDP("udp", from)
	if err != nil {
		return nil, err
	}

	r := &relay{listener: l, target: to, paths: map[string]*net.UDPConn{}}
	go r.run()

	return r, nil
}

func (r *relay) run() {
	packet := make([]byte, 1<<16)

	for {
		n, sender, err := r.listener.ReadFromUDP(packet)
		if err != nil {
			return
		}

		path, err := r.path(sender)
		if err != nil || r.cut.Load() {
			continue
		}

		_, _ = path.Write(packet[:n])
	}
}

// path returns the socket towards the entry for a sender.
func (r *relay) path(sender *net.UDPAddr) (*net.UDPConn, error) {
	r.mu.Lock()
	defer r.mu.Unlock()

	if c := r.paths[sender.String()]; c != nil {
		return c, nil
	}

	c, err := net.DialUDP("udp", &net.UDPAddr{IP: r.listener.LocalAddr().(*net.UDPAddr).IP}, r.target)
	if err != nil {
		return nil, err
	}

	r.paths[sender.String()] = c
	go r.runBack(c, sender)

	return c, nil
}

// runBack passes on what the entry sends to a process.
func (r *relay) runBack(c *net.UDPConn, sender *net.UDPAddr) {
	packet := make([]byte, 1<<16)

	for {
		n, err := c.Read(packet)
		if err != nil {
			return
		}

		if !r.cut.Load() {
			_, _ = r.listener.WriteToUDP(packet[:n], sender)
		}
	}
}

func (r *relay) close() {
	r.mu.Lock()
	defer r.mu.Unlock()

	_ = r.listener.Close()

	for _, c := range r.paths {
		_ = c.Close()
	}
}
