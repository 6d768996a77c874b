package main

import (
	"context"
	"os"
	"strings"
	"syscall"
	"time"
)

const (
	// knownZones and grownZones are the zones in the settings before and after the deployment grows by one.
	knownZones, grownZones = `"Zones": {"zone-a": "region"}`, `"Zones": {"zone-a": "region", "zone-b": "region"}`
	// reloadTime is longer than a process takes to read changed settings.
	reloadTime = 3 * time.Second
)

// zones changes the settings of all processes, which name one more failure domain from then on, stops and starts the entries in
// turn, and checks that they serve jobs after that. Without trouble the settings stay as they are.
func zones(d *deployment, trouble bool) (bool, error) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()

	entries, _, err := d.begin(ctx, callEntries)
	if err != nil {
		return false, err
	}

	if trouble {
		if err := d.growZones(); err != nil {
			return false, err
		}
	}

	time.Sleep(reloadTime)

	for _, p := range entries {
		d.record.add("SIGTERM to %s", p.name)
		p.signal(syscall.SIGTERM)
		<-p.ended

		time.Sleep(restartDelay)

		if err := d.start(p, p.role); err != nil {
			return false, err
		}

		time.Sleep(settleTime)
	}

	return d.servesJobs(), nil
}

// growZones adds a failure domain to the settings of all processes, and tells them.
func (d *deployment) growZones() error {
	for _, p := range d.processes {
		text, err := os.ReadFile(p.settings)
		if err != nil {
			return err
		}

		grown := strings.Replace(string(text), knownZones, grownZones, 1)
		if err := os.WriteFile(p.settings, []byte(grown), 0o600); err != nil {
			return err
		}

		p.signal(syscall.SIGHUP)
		d.record.add("the settings of %s have one more zone, SIGHUP", p.name)
	}

	return nil
}
