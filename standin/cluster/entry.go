package cluster

import (
	"context"
	"encoding/json"
	"os"
	"regexp"
	"strings"
	"sync/atomic"

	"github.com/ansel1/merry/v2"

	"github.com/skylarkweir/skylarkweir/standin/relay"
)

// listening is the log line with which entries and sidecars tell their addresses.
var listeningLine = regexp.MustCompile(`(?m)^\{.*"event":"listening".*\}$`)

// listeningBody is that line.
type listeningEvent struct {
	Callers     string `json:"callers"`
	Admin       string `json:"admin"`
	QUIC        string `json:"quic"`
	Incarnation uint64 `json:"incarnation"`
}

// Entry is an entry of a cluster.
type Entry struct {
	cluster *Cluster
	name    string
	// file is the settings file, rewritten with the chosen addresses after the first start.
	settingsFile string
	settings     map[string]any
	// present is replaced by Restart, while a watch may read it.
	current         atomic.Pointer[entryIncarnation]
	relay, logRelay *relay.Relay
}

// presentEntry is what changes with a restart. It is immutable.
type entryIncarnation struct {
	process *Process
	// url and admin are HTTP addresses with scheme.
	url, adminURL string
	// address is where other processes reach the entry over QUIC, listen where it listens itself.
	advertisedAddress, listenAddress string
}

// StartEntry starts an entry and waits until it listens. It knows the entries that were started before.
func (c *Cluster) StartEntry(ctx context.Context, name string, options ...Option) (*Entry, error) {
	p := collectOptions(options)
	e := &Entry{cluster: c, name: name, settingsFile: c.path(name + ".jsonc")}

	peers := []string{}
	for _, other := range c.Entries() {
		peers = append(peers, other.AdvertisedAddress())
	}

	base := map[string]any{
		"name": name, "callers": loopback, "admin": loopback, "listen": loopback, "peers": peers,
		"log_service": c.log.URL(), "ticket_key": c.ticketKey, "keys": c.keyFiles(),
	}

	if err := e.addRelays(ctx, p, base); err != nil {
		return nil, err
	}

	e.settings = p.applyTo(base)

	if err := e.Restart(ctx); err != nil {
		return nil, err
	}

	c.mutex.Lock()
	c.entries = append(c.entries, e)
	c.mutex.Unlock()

	return e, nil
}

func (e *Entry) addRelays(ctx context.Context, p startOptions, base map[string]any) error {
	if p.relay {
		listen, err := freeAddress(ctx)
		if err != nil {
			return err
		}

		if e.relay, err = e.cluster.openRelay(ctx, relay.UDP, listen); err != nil {
			return err
		}

		base["listen"], base["advertise"] = listen, e.relay.Address()
	}

	if p.logRelay {
		r, err := e.cluster.openRelay(ctx, relay.TCP, e.cluster.log.address)
		if err != nil {
			return err
		}

		e.logRelay = r
		base["log_service"] = "http://" + r.Address()
	}

	return nil
}

// Restart starts the entry again with the same settings and addresses, after it has ended.
func (e *Entry) Restart(ctx context.Context) error {
	p, b, err := e.cluster.startDaemon(ctx, e.name, EntryProgram, e.settingsFile, e.settings)
	if err != nil {
		return err
	}

	listen := b.QUIC
	if e.relay != nil {
		listen, _ = e.settings["listen"].(string)
	}

	e.current.Store(&entryIncarnation{p, "http://" + b.Callers, "http://" + b.Admin, b.QUIC, listen})
	e.settings["callers"], e.settings["admin"], e.settings["listen"] = b.Callers, b.Admin, listen

	return nil
}

// Name returns the name of the entry.
func (e *Entry) Name() string { return e.name }

// URL returns the address of the callers' HTTP API.
func (e *Entry) URL() string { return e.current.Load().url }

// Admin returns the address of the admin HTTP API.
func (e *Entry) AdminURL() string { return e.current.Load().adminURL }

// Address returns where other processes reach the entry, which is its relay if it has one.
func (e *Entry) AdvertisedAddress() string { return e.current.Load().advertisedAddress }

// Source returns the address from which the entry's own QUIC traffic comes, for faults of single clients of relays.
func (e *Entry) SourceAddress() string { return e.current.Load().listenAddress }

// Process returns the running process; Restart replaces it.
func (e *Entry) Process() *Process { return e.current.Load().process }

// Relay returns the relay in front of the entry, or nil.
func (e *Entry) Relay() *relay.Relay { return e.relay }

// LogRelay returns the relay between the entry and the log, or nil.
func (e *Entry) LogRelay() *relay.Relay { return e.logRelay }

// Status decodes the answer to GET /v1/status.
func (e *Entry) Status(ctx context.Context, result any) error {
	return getJSON(ctx, e.AdminURL()+"/v1/status", result)
}

func (c *Cluster) keyFiles() map[string]string {
	return map[string]string{
		"certificate": c.path("keys", "certificate.pem"), "key": c.path("keys", "key.pem"),
		"authority": c.path("keys", "authority.pem"),
	}
}

func (c *Cluster) openRelay(ctx context.Context, network, target string) (*relay.Relay, error) {
	r := &relay.Relay{}
	if err := r.Open(ctx, network, loopback, target); err != nil {
		return nil, err
	}

	c.addCloser(r)

	return r, nil
}

// startDaemon writes the settings, starts an entry or a sidecar and waits for its addresses.
func (c *Cluster) startDaemon(ctx context.Context, name, program, file string, settings map[string]any) (*Process, listeningEvent, error) {
	var b listeningEvent

	// A program that logs less than "info" does not tell the ports that the kernel chose, so they are chosen before.
	level, _ := settings["log_level"].(string)
	addressesNotLogged := level == "warn" || level == "error"

	if addressesNotLogged {
		if err := assignFreeAddresses(ctx, settings); err != nil {
			return nil, b, err
		}
	}

	text, err := json.MarshalIndent(settings, "", "  ")
	if err != nil {
		return nil, b, merry.Prependf(err, "settings of %s", name)
	}

	if err := os.WriteFile(file, text, 0o600); err != nil {
		return nil, b, merry.Prependf(err, "settings of %s", name)
	}

	p, err := c.start(ctx, name, program, "--settings", file)
	if err != nil {
		return nil, b, err
	}

	if addressesNotLogged {
		b = configuredAddresses(settings)
		err := p.waitForHealth(ctx, "http://"+b.Admin)

		return p, b, err
	}

	match, err := p.waitForOutput(ctx, listeningLine)
	if err != nil {
		return nil, b, err
	}

	if err := json.NewDecoder(strings.NewReader(match[0])).Decode(&b); err != nil {
		return nil, b, merry.Prependf(err, "addresses of %s", name)
	}

	return p, b, nil
}

// addressKeys are the settings keys with addresses at which entries and sidecars listen.
var addressKeys = []string{"callers", "admin", "listen"}

// chooseAddresses replaces port 0 by free ports.
func assignFreeAddresses(ctx context.Context, settings map[string]any) error {
	for _, key := range addressKeys {
		if settings[key] != loopback {
			continue
		}

		address, err := freeAddress(ctx)
		if err != nil {
			return err
		}

		settings[key] = address
	}

	return nil
}

func configuredAddresses(settings map[string]any) listeningEvent {
	text := func(key string) string {
		s, _ := settings[key].(string)

		return s
	}

	b := listeningEvent{Callers: text("callers"), Admin: text("admin"), QUIC: text("listen")}
	if advertised := text("advertise"); advertised != "" {
		b.QUIC = advertised
	}

	return b
}
