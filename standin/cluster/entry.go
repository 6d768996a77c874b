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
var listening = regexp.MustCompile(`(?m)^\{.*"event":"listening".*\}$`)

// listeningBody is that line.
type listeningBody struct {
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
	file     string
	settings map[string]any
	// present is replaced by Restart, while a watch may read it.
	present         atomic.Pointer[presentEntry]
	relay, logRelay *relay.Relay
}

// presentEntry is what changes with a restart. It is immutable.
type presentEntry struct {
	process *Process
	// url and admin are HTTP addresses with scheme.
	url, admin string
	// address is where other processes reach the entry over QUIC, listen where it listens itself.
	address, listen string
}

// StartEntry starts an entry and waits until it listens. It knows the entries that were started before.
func (c *Cluster) StartEntry(ctx context.Context, name string, options ...Option) (*Entry, error) {
	p := planOf(options)
	e := &Entry{cluster: c, name: name, file: c.path(name + ".jsonc")}

	peers := []string{}
	for _, other := range c.Entries() {
		peers = append(peers, other.Address())
	}

	base := map[string]any{
		"name": name, "callers": loopback, "admin": loopback, "listen": loopback, "peers": peers,
		"log_service": c.log.URL(), "ticket_key": c.ticketKey, "keys": c.keys(),
	}

	if err := e.addRelays(ctx, p, base); err != nil {
		return nil, err
	}

	e.settings = p.over(base)

	if err := e.Restart(ctx); err != nil {
		return nil, err
	}

	c.mutex.Lock()
	c.entries = append(c.entries, e)
	c.mutex.Unlock()

	return e, nil
}

func (e *Entry) addRelays(ctx context.Context, p plan, base map[string]any) error {
	if p.relayed {
		listen, err := freeAddress(ctx)
		if err != nil {
			return err
		}

		if e.relay, err = e.cluster.openRelay(ctx, relay.UDP, listen); err != nil {
			return err
		}

		base["listen"], base["advertise"] = listen, e.relay.Address()
	}

	if p.logRelayed {
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
	p, b, err := e.cluster.startDaemon(ctx, e.name, EntryProgram, e.file, e.settings)
	if err != nil {
		return err
	}

	listen := b.QUIC
	if e.relay != nil {
		listen, _ = e.settings["listen"].(string)
	}

	e.present.Store(&presentEntry{p, "http://" + b.Callers, "http://" + b.Admin, b.QUIC, listen})
	e.settings["callers"], e.settings["admin"], e.settings["listen"] = b.Callers, b.Admin, listen

	return nil
}

// Name returns the name of the entry.
func (e *Entry) Name() string { return e.name }

// URL returns the address of the callers' HTTP API.
func (e *Entry) URL() string { return e.present.Load().url }

// Admin returns the address of the admin HTTP API.
func (e *Entry) Admin() string { return e.present.Load().admin }

// Address returns where other processes reach the entry, which is its relay if it has one.
func (e *Entry) Address() string { return e.present.Load().address }

// Source returns the address from which the entry's own QUIC traffic comes, for faults of single clients of relays.
func (e *Entry) Source() string { return e.present.Load().listen }

// Process returns the running process; Restart replaces it.
func (e *Entry) Process() *Process { return e.present.Load().process }

// Relay returns the relay in front of the entry, or nil.
func (e *Entry) Relay() *relay.Relay { return e.relay }

// LogRelay returns the relay between the entry and the log, or nil.
func (e *Entry) LogRelay() *relay.Relay { return e.logRelay }

// Status decodes the answer to GET /v1/status.
func (e *Entry) Status(ctx context.Context, into any) error {
	return get(ctx, e.Admin()+"/v1/status", into)
}

func (c *Cluster) keys() map[string]string {
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

	c.closeLater(r)

	return r, nil
}

// startDaemon writes the settings, starts an entry or a sidecar and waits for its addresses.
func (c *Cluster) startDaemon(ctx context.Context, name, program, file string, settings map[string]any) (*Process, listeningBody, error) {
	var b listeningBody

	// A program that logs less than "info" does not tell the ports that the kernel chose, so they are chosen before.
	level, _ := settings["log_level"].(string)
	quiet := level == "warn" || level == "error"

	if quiet {
		if err := chooseAddresses(ctx, settings); err != nil {
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

	if quiet {
		b = addressesOf(settings)
		err := p.awaitHealth(ctx, "http://"+b.Admin)

		return p, b, err
	}

	found, err := p.await(ctx, listening)
	if err != nil {
		return nil, b, err
	}

	if err := json.NewDecoder(strings.NewReader(found[0])).Decode(&b); err != nil {
		return nil, b, merry.Prependf(err, "addresses of %s", name)
	}

	return p, b, nil
}

// addressKeys are the settings keys with addresses at which entries and sidecars listen.
var addressKeys = []string{"callers", "admin", "listen"}

// chooseAddresses replaces port 0 by free ports.
func chooseAddresses(ctx context.Context, settings map[string]any) error {
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

func addressesOf(settings map[string]any) listeningBody {
	text := func(key string) string {
		s, _ := settings[key].(string)

		return s
	}

	b := listeningBody{Callers: text("callers"), Admin: text("admin"), QUIC: text("listen")}
	if advertised := text("advertise"); advertised != "" {
		b.QUIC = advertised
	}

	return b
}
