package cluster

import (
	"context"
	"net"

	"github.com/ansel1/merry/v2"
)

// freeAddress returns an address on a loopback host whose port was free for both TCP and UDP. The started process binds
// it later; with the address in its settings, it has the same address after a restart. Another process could bind the
// port in between, but that time is short.
func freeAddress(ctx context.Context, host string) (string, error) {
	const maxAttempts = 20

	for range maxAttempts {
		l, err := (&net.ListenConfig{}).Listen(ctx, "tcp", net.JoinHostPort(host, anyPort))
		if err != nil {
			return "", merry.Prepend(err, "find a free port")
		}

		address := l.Addr().String()
		packetConn, err := (&net.ListenConfig{}).ListenPacket(ctx, "udp", address)

		if err := l.Close(); err != nil {
			return "", merry.Prepend(err, "release a port")
		}

		if err != nil {
			continue
		}

		if err := packetConn.Close(); err != nil {
			return "", merry.Prepend(err, "release a port")
		}

		return address, nil
	}

	return "", merry.Errorf("found no port that is free for both TCP and UDP in %d attempts", maxAttempts)
}
