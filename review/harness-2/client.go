package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"
)

var lastJob atomic.Int64

// newID returns the id of a new job.
func newID() string { return fmt.Sprintf("%016x", time.Now().UnixNano()&^0xfff|lastJob.Add(1)&0xfff) }

// jobBody returns the body of a repeatable job whose tasks run for a time; more has further fields of its step.
func jobBody(tasks int, run time.Duration, more string) []byte {
	ms := strconv.FormatInt(run.Milliseconds(), 10)

	return []byte(fill(jobText, map[string]string{"INPUT": ms, "TASKS": strconv.Itoa(tasks), "RUN": ms, "MORE": more}))
}

// channel is an open connection of a client to an entry.
type channel struct {
	conn   net.Conn
	reader *bufio.Reader
}

func (d *deployment) open(entry int) (*channel, error) {
	c, err := net.Dial("tcp", net.JoinHostPort(d.entryIP(entry), strconv.Itoa(d.front)))
	if err != nil {
		return nil, err
	}

	return &channel{c, bufio.NewReader(c)}, nil
}

// send sends a submission. Of its body, the part after the first bytes follows after the delay.
func (c *channel) send(id string, body []byte, first int, delay time.Duration) error {
	return c.sendWithin(1500*time.Millisecond, id, body, first, delay)
}

// sendWithin sends a submission whose client waits for a time.
func (c *channel) sendWithin(timeout time.Duration, id string, body []byte, first int, delay time.Duration) error {
	var b bytes.Buffer

	fmt.Fprintf(&b, "POST /quick/%s HTTP/1.1\r\nHost: jobs.example\r\nContent-Type: application/json\r\n%s: %d\r\nContent-Length: %d\r\n\r\n",
		id, names["timeoutHeader"], timeout.Milliseconds(), len(body))
	b.Write(body[:first])

	if _, err := c.conn.Write(b.Bytes()); err != nil || first == len(body) {
		return err
	}

	time.Sleep(delay)

	_, err := c.conn.Write(body[first:])

	return err
}

// answer reads an answer and returns its status and text, or an error if the connection ends without a complete one.
func (c *channel) answer() (int, string, bool, error) {
	_ = c.conn.SetReadDeadline(time.Now().Add(15 * time.Second))

	resp, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return 0, "", false, err
	}
	defer resp.Body.Close()

	text, err := io.ReadAll(resp.Body)

	return resp.StatusCode, string(bytes.TrimSpace(text)), resp.Close, err
}

// submit sends a job over a new connection and returns the status, zero without an answer.
func (d *deployment) submit(entry int, id string, body []byte) int {
	c, err := d.open(entry)
	if err != nil {
		return 0
	}
	defer c.conn.Close()

	if c.send(id, body, len(body), 0) != nil {
		return 0
	}

	status, _, _, err := c.answer()
	if err != nil {
		return 0
	}

	return status
}

// cancel cancels a job over a new connection and returns the status and the text of the answer, zero without an answer.
func (d *deployment) cancel(entry int, id string) (int, string) {
	c, err := d.open(entry)
	if err != nil {
		return 0, ""
	}
	defer c.conn.Close()

	if _, err := fmt.Fprintf(c.conn, "DELETE /quick/%s HTTP/1.1\r\nHost: jobs.example\r\n\r\n", id); err != nil {
		return 0, ""
	}

	status, text, _, _ := c.answer()

	return status, text
}
