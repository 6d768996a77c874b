package main

import (
	"os"
	"syscall"
	"time"
)

// playSuspended: the machine of a backend server is suspended for a while, with its sidecar. Seconds after it goes on, the
// server carries out calls without answering them, for a shorter time than a job may take. With TROUBLE=mute only the second
// happens.
func playSuspended(d *deployment, disrupted bool) ([]string, error) {
	const (
		suspension = 4 * time.Second
		calm       = 6 * time.Second
		muteTime   = 2 * time.Second
		jobs       = 5
	)

	var violations []string

	s, p := d.servers[0], d.sidecars[0]

	if disrupted && os.Getenv("TROUBLE") != "mute" {
		p.signal(syscall.SIGSTOP)
		s.suspend()
		d.record.line("server 0  its machine is suspended")
		time.Sleep(suspension)
		s.resume()
		p.signal(syscall.SIGCONT)
		d.record.line("server 0  its machine goes on")
	}

	time.Sleep(calm)

	for range rounds {
		var sent [jobs]*submission

		for n := range sent {
			sent[n] = d.submitLater(newJob("grain", 16, 1300*time.Millisecond), n%len(d.entries))
		}

		for _, t := range sent {
			if _, err := awaitStarts(d, t.job); err != nil {
				return nil, err
			}
		}

		if disrupted {
			s.setMute(true)
			d.record.line("server 0  answers no call from now on")
		}

		time.Sleep(muteTime)
		s.setMute(false)
		d.record.line("server 0  answers calls")

		for _, t := range sent {
			<-t.answer
			violations = append(violations, overlaps(d.runsOf(t.job))...)
		}

		time.Sleep(heartbeatInterval + time.Second)
	}

	return violations, nil
}
