package cluster

import (
	"context"
	"net"

	"github.com/ansel1/merry/v2"
)

// freeAddress returns a loopback address that the kernel chose and that was free for TCP and UDP. The process that
// gets it binds it later, so that a restarted process keeps its address; the time between is short.
func freeAddress(ctx context.Context) (string, error) {
	const maxAttempts = 20

	for range maxAttempts {
		l, err := (&net.ListenConfig{}).Listen(ctx, "tcp", loopback)
		if err != nil {
			return "", merry.Prepend(err, "choose a port")
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

	return "", merry.Errorf("no port was free for TCP and UDP in %d attempts", maxAttempts)
}
