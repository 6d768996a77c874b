package quic_test

import (
	"context"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/skylarkweir/skylarkweir/weir/connection/quic"
	"github.com/skylarkweir/skylarkweir/weir/connection/wire"
)

// Guards against processes that cannot connect to each other while an operator replaces the keys: in between, some
// processes use the old keys and others the new ones, and all trust both authorities. Also guards against accepting a
// certificate of an authority that is not trusted.
func TestAuthoritiesOverlap(t *testing.T) {
	is := is.New(t)
	oldDir, newDir := t.TempDir(), t.TempDir()
	is.NoErr(quic.IssueKeys(oldDir, time.Hour))
	is.NoErr(quic.IssueKeys(newDir, time.Hour))

	bothAuthorities := filepath.Join(t.TempDir(), quic.AuthorityFile)
	oldAuthority, err := os.ReadFile(filepath.Join(oldDir, quic.AuthorityFile))
	is.NoErr(err)
	newAuthority, err := os.ReadFile(filepath.Join(newDir, quic.AuthorityFile))
	is.NoErr(err)
	is.NoErr(os.WriteFile(bothAuthorities, append(oldAuthority, newAuthority...), 0o600))

	load := func(dir, authority string) quic.Keys {
		k, err := quic.LoadKeys(filepath.Join(dir, quic.CertificateFile), filepath.Join(dir, quic.KeyFile), authority)
		is.NoErr(err)

		return k
	}

	is.NoErr(exchangeFrame(t, load(oldDir, bothAuthorities), load(newDir, bothAuthorities)))
	is.NoErr(exchangeFrame(t, load(newDir, bothAuthorities), load(oldDir, bothAuthorities)))
	is.NoErr(exchangeFrame(t, load(oldDir, filepath.Join(oldDir, quic.AuthorityFile)), load(oldDir, bothAuthorities)))
	is.True(exchangeFrame(t, load(oldDir, filepath.Join(oldDir, quic.AuthorityFile)), load(newDir, bothAuthorities)) != nil)
}

// exchangeFrame dials a node that has the keys b from one that has the keys a, and exchanges a frame.
func exchangeFrame(t *testing.T, a, b quic.Keys) error {
	t.Helper()

	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()

	var dialer, listener quic.Node

	for n, k := range map[*quic.Node]quic.Keys{&dialer: a, &listener: b} {
		if err := n.Listen("127.0.0.1:0", k); err != nil {
			return err
		}
		defer n.Close()
	}

	e := &echoServer{node: &listener}
	go e.run(ctx)

	c, err := dialer.Dial(ctx, listener.Address().String())
	if err != nil {
		return err
	}

	_, err = c.RoundTrip(ctx, wire.Frame_builder{Leaving: &wire.Leaving{}}.Build())

	return err
}
