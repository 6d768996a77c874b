package relay_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/skylarkweir/skylarkweir/standin/relay"
)

func openRelay(t *testing.T, network, target string) *relay.Relay {
	t.Helper()

	r := &relay.Relay{}
	if err := r.Open(t.Context(), network, "127.0.0.1:0", target); err != nil {
		t.Fatal(err)
	}

	t.Cleanup(func() { r.Close() })

	return r
}

// startUDPEcho starts a UDP server that sends each datagram back, and returns its address.
func startUDPEcho(t *testing.T) string {
	t.Helper()

	c, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}

	t.Cleanup(func() { c.Close() })

	go func() {
		b := make([]byte, 2048)
		for {
			n, from, err := c.ReadFrom(b)
			if err != nil {
				return
			}
			c.WriteTo(b[:n], from)
		}
	}()

	return c.LocalAddr().String()
}

// startTCPEcho starts a TCP server that sends everything back, and returns its address.
func startTCPEcho(t *testing.T) string {
	t.Helper()

	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}

	t.Cleanup(func() { l.Close() })

	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}

			go io.Copy(c, c)
		}
	}()

	return l.Addr().String()
}

// answerLimit limits the wait for an answer that has to come.
const answerLimit = 10 * time.Second

func receive(c net.Conn, timeout time.Duration) (string, bool) {
	b := make([]byte, 2048)
	c.SetReadDeadline(time.Now().Add(timeout))

	n, err := c.Read(b)

	return string(b[:n]), err == nil
}

// receiveText waits for a datagram with a text. It skips others: answers that a fault should have held back and that were
// still on their way when the fault ended.
func receiveText(c net.Conn, text string, timeout time.Duration) bool {
	for deadline := time.Now().Add(timeout); ; {
		got, ok := receive(c, time.Until(deadline))
		if !ok || got == text {
			return ok
		}
	}
}

// Guards against faults that are not injected, or that remain after ClearFaults. Tests that rely on them would then
// pass without testing anything.
func TestUDPFaults(t *testing.T) {
	is := is.New(t)
	r := openRelay(t, relay.UDP, startUDPEcho(t))

	c, err := net.Dial("udp", r.Address())
	is.NoErr(err)
	defer c.Close()

	sent := 0
	exchange := func(timeout time.Duration) bool {
		sent++
		text := strconv.Itoa(sent)
		c.Write([]byte(text))

		return receiveText(c, text, timeout)
	}

	is.True(exchange(answerLimit))

	for _, f := range []relay.Faults{
		relay.Faults{}.WithCut(), relay.Faults{}.WithCutUp(), relay.Faults{}.WithCutDown(),
		relay.Faults{}.WithLoss(1), relay.Faults{}.WithDropAnswers(1),
	} {
		r.SetFaults(f)
		is.True(!exchange(50 * time.Millisecond))
		r.ClearFaults()
		is.True(exchange(answerLimit))
	}

	r.SetFaults(relay.Faults{}.WithDropAnswers(1))
	is.True(!exchange(50 * time.Millisecond))
	is.True(exchange(answerLimit)) // only one answer was to be dropped

	r.SetFaults(relay.Faults{}.WithDelay(40 * time.Millisecond))
	start := time.Now()
	is.True(exchange(answerLimit))
	is.True(time.Since(start) >= 80*time.Millisecond)

	// The datagram is duplicated in both directions, so four copies arrive.
	r.SetFaults(relay.Faults{}.WithDuplicate(1))
	c.Write([]byte("y"))
	for range 4 {
		is.True(receiveText(c, "y", answerLimit))
	}

	r.ClearFaults()
	checkClientFaults(t, r)
}

// checkClientFaults checks that the faults of a client apply to all of its ports and to no other host.
func checkClientFaults(t *testing.T, r *relay.Relay) {
	t.Helper()

	is := is.New(t)
	r.SetClientFaults("127.0.0.2", relay.Faults{}.WithCut())

	answered := func(host string) bool {
		d := net.Dialer{LocalAddr: &net.UDPAddr{IP: net.ParseIP(host)}}
		c, err := d.Dial("udp", r.Address())
		is.NoErr(err)
		defer c.Close()

		c.Write([]byte("z"))
		_, ok := receive(c, time.Second)

		return ok
	}

	is.True(!answered("127.0.0.2"))
	is.True(!answered("127.0.0.2")) // from another port
	is.True(answered("127.0.0.3"))
}

// Guards against a dropped answer whose request did not reach the target. Tests use dropped answers to check that a
// request which was served is not served again.
func TestTCPDropAnswerAfterRequest(t *testing.T) {
	is := is.New(t)

	var served atomic.Int64

	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		served.Add(1)
		io.WriteString(w, "done")
	}))
	defer s.Close()

	r := openRelay(t, relay.TCP, s.Listener.Addr().String())
	client := &http.Client{Transport: &http.Transport{}}
	defer client.CloseIdleConnections()

	post := func() error {
		a, err := client.Post("http://"+r.Address(), "text/plain", strings.NewReader("x"))
		if err == nil {
			_, err = io.ReadAll(a.Body)
			a.Body.Close()
		}

		return err
	}

	is.NoErr(post())
	r.SetFaults(relay.Faults{}.WithDropAnswers(1))
	is.True(post() != nil)
	is.Equal(served.Load(), int64(2))
	is.NoErr(post())

	r.SetFaults(relay.Faults{}.WithRefuse())
	r.CloseConnections()
	is.True(post() != nil)
	is.Equal(served.Load(), int64(3))
}

// Guards against a cut that loses TCP data: TCP loses no data while a connection is open, and neither may the relay.
func TestTCPCutKeepsData(t *testing.T) {
	is := is.New(t)

	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer l.Close()

	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() { defer c.Close(); io.Copy(c, c) }()
		}
	}()

	r := openRelay(t, relay.TCP, l.Addr().String())
	c, err := net.Dial("tcp", r.Address())
	is.NoErr(err)
	defer c.Close()

	r.SetFaults(relay.Faults{}.WithCutDown())
	c.Write([]byte("one\ntwo\n"))
	_, ok := receive(c, 50*time.Millisecond)
	is.True(!ok)

	r.ClearFaults()
	c.SetReadDeadline(time.Now().Add(2 * time.Second))
	line, err := bufio.NewReader(c).ReadString('\n')
	is.NoErr(err)
	is.Equal(line, "one\n")
}

// Guards against faults that the admin endpoint accepts but does not apply, and against unknown keys that it accepts: a
// misspelled fault would then be ignored.
func TestAdmin(t *testing.T) {
	is := is.New(t)
	r := openRelay(t, relay.UDP, startUDPEcho(t))
	s := httptest.NewServer(r.Handler())
	defer s.Close()

	put := func(body string) int {
		q, err := http.NewRequestWithContext(context.Background(), http.MethodPut, s.URL+"/v1/faults", strings.NewReader(body))
		is.NoErr(err)
		a, err := s.Client().Do(q)
		is.NoErr(err)
		defer a.Body.Close()

		return a.StatusCode
	}

	is.Equal(put(`{"cut_up": true, "delay_ms": 1.5}`), http.StatusOK)
	is.Equal(r.Faults(), relay.Faults{}.WithCutUp().WithDelay(1500*time.Microsecond))
	is.Equal(put(`{"cut": true}`), http.StatusBadRequest)
	is.Equal(r.Faults(), relay.Faults{}.WithCutUp().WithDelay(1500*time.Microsecond))
}

// Guards against a silenced connection that is closed or still delivers, and against new connections that are silent too.
func TestSilenceConnections(t *testing.T) {
	t.Run(relay.TCP, func(t *testing.T) { checkSilence(t, relay.TCP, startTCPEcho(t)) })
	t.Run(relay.UDP, func(t *testing.T) { checkSilence(t, relay.UDP, startUDPEcho(t)) })
}

// checkSilence checks that open connections go silent and new ones work.
func checkSilence(t *testing.T, network, target string) {
	t.Helper()

	is := is.New(t)
	r := openRelay(t, network, target)

	dial := func() net.Conn {
		c, err := net.Dial(network, r.Address())
		is.NoErr(err)
		t.Cleanup(func() { c.Close() })

		return c
	}

	old := dial()
	old.Write([]byte("before"))
	got, ok := receive(old, 10*time.Second)
	is.True(ok)
	is.Equal(got, "before")

	r.SilenceConnections()
	old.Write([]byte("after"))

	fresh := dial()
	fresh.Write([]byte("new"))
	got, ok = receive(fresh, 10*time.Second)
	is.True(ok)
	is.Equal(got, "new")

	_, ok = receive(old, 50*time.Millisecond)
	is.True(!ok)

	_, err := old.Write([]byte("still open"))
	is.NoErr(err)
}
