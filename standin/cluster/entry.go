package cluster

import (
	"context"
	"encoding/json"
	"net"
	"os"
	"regexp"
	"strings"
	"sync/atomic"

	"github.com/ansel1/merry/v2"

	"github.com/skylarkweir/skylarkweir/standin/relay"
)

// listeningLine matches the log line in which an entry or a sidecar reports its addresses.
var listeningLine = regexp.MustCompile(`(?m)^\{.*"event":"listening".*\}$`)

// listeningEvent holds the fields of that line.
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
	// host is the host of the entry's QUIC traffic.
	host string
	// settingsFile is rewritten at each start; from the first restart on it holds the addresses of the first start.
	settingsFile string
	settings     map[string]any
	// current is replaced by Restart, possibly while another goroutine reads the status.
	current         atomic.Pointer[entryIncarnation]
	relay, logRelay *relay.Relay
}

// entryIncarnation is one run of an entry's process, with its addresses. It is immutable.
type entryIncarnation struct {
	process *Process
	// url and adminURL include the scheme.
	url, adminURL string
	// advertisedAddress is where other processes reach the entry over QUIC, or its relay, if it has one.
	advertisedAddress string
}

// StartEntry starts an entry and waits until it listens. Its peers are the entries that were started before.
func (c *Cluster) StartEntry(ctx context.Context, name string, options ...Option) (*Entry, error) {
	o := collectOptions(options)
	e := &Entry{cluster: c, name: name, host: c.newHost(), settingsFile: c.path(name + ".jsonc")}

	peers := []string{}
	for _, other := range c.Entries() {
		peers = append(peers, other.AdvertisedAddress())
	}

	base := map[string]any{
		"name": name, "callers": loopback, "admin": loopback, "listen": net.JoinHostPort(e.host, anyPort), "peers": peers,
		"log_service": c.log.URL(), "ticket_key": c.ticketKey, "keys": c.keyFiles(),
	}

	if err := e.addRelays(ctx, o, base); err != nil {
		return nil, err
	}

	e.settings = o.applyTo(base)

	if err := e.Restart(ctx); err != nil {
		return nil, err
	}

	c.mutex.Lock()
	c.entries = append(c.entries, e)
	c.mutex.Unlock()

	return e, nil
}

func (e *Entry) addRelays(ctx context.Context, o startOptions, base map[string]any) error {
	if o.relay {
		listen, err := freeAddress(ctx, e.host)
		if err != nil {
			return err
		}

		if e.relay, err = e.cluster.openRelay(ctx, relay.UDP, listen); err != nil {
			return err
		}

		base["listen"], base["advertise"] = listen, e.relay.Address()
	}

	if o.logRelay {
		r, err := e.cluster.openRelay(ctx, relay.TCP, e.cluster.log.address)
		if err != nil {
			return err
		}

		e.logRelay = r
		base["log_service"] = "http://" + r.Address()
	}

	return nil
}

// Restart starts the entry again with the same settings and addresses. The previous process must have exited.
func (e *Entry) Restart(ctx context.Context) error {
	p, b, err := e.cluster.startDaemon(ctx, e.name, EntryProgram, e.settingsFile, e.settings)
	if err != nil {
		return err
	}

	listen := b.QUIC
	if e.relay != nil {
		listen, _ = e.settings["listen"].(string)
	}

	e.current.Store(&entryIncarnation{p, "http://" + b.Callers, "http://" + b.Admin, b.QUIC})
	e.settings["callers"], e.settings["admin"], e.settings["listen"] = b.Callers, b.Admin, listen

	return nil
}

// Name returns the name in the entry's settings.
func (e *Entry) Name() string { return e.name }

// URL returns the base URL of the HTTP API for callers.
func (e *Entry) URL() string { return e.current.Load().url }

// AdminURL returns the base URL of the admin HTTP API.
func (e *Entry) AdminURL() string { return e.current.Load().adminURL }

// AdvertisedAddress returns the QUIC address at which other processes reach the entry: that of its relay, if it has
// one.
func (e *Entry) AdvertisedAddress() string { return e.current.Load().advertisedAddress }

// Host returns the host of the entry's own QUIC traffic. It identifies the entry as the client of another entry's relay.
func (e *Entry) Host() string { return e.host }

// Process returns the entry's process; Restart replaces it.
func (e *Entry) Process() *Process { return e.current.Load().process }

// Relay returns the UDP relay in front of the entry, or nil.
func (e *Entry) Relay() *relay.Relay { return e.relay }

// LogRelay returns the TCP relay between the entry and the log service, or nil.
func (e *Entry) LogRelay() *relay.Relay { return e.logRelay }

// Status decodes the entry's response to GET /v1/status into result.
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

// startDaemon writes the settings file, starts an entry or a sidecar and waits until it listens. It returns its
// addresses.
func (c *Cluster) startDaemon(
	ctx context.Context, name, program, file string, settings map[string]any,
) (*Process, listeningEvent, error) {
	var b listeningEvent

	// Below the log level "info" a program does not report the ports that the kernel chose, so they are chosen here.
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

// addressKeys are the keys of the settings that hold listen addresses.
var addressKeys = []string{"callers", "admin", "listen"}

// assignFreeAddresses replaces port 0 in the listen addresses by free ports.
func assignFreeAddresses(ctx context.Context, settings map[string]any) error {
	for _, key := range addressKeys {
		configured, _ := settings[key].(string)

		host, port, err := net.SplitHostPort(configured)
		if err != nil || port != anyPort {
			continue
		}

		address, err := freeAddress(ctx, host)
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
