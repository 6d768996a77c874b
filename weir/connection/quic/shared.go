package quic

import (
	"crypto/ed25519"
	"crypto/sha256"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"math/big"
	"time"

	"github.com/ansel1/merry/v2"
)

// SharedKeys derives a certificate that all processes with the same secret share and trust. It keeps processes of
// different deployments from connecting to each other. Anyone who knows the secret can connect.
func SharedKeys(secret string) (Keys, error) {
	seed := sha256.Sum256([]byte("skylarkweir transport " + secret))
	key := ed25519.NewKeyFromSeed(seed[:])

	// The dates are fixed because every process must derive the same certificate, and far apart so that it is also valid
	// for processes whose clocks are wrong.
	c := &x509.Certificate{
		SerialNumber:          big.NewInt(1),
		Subject:               pkix.Name{CommonName: serverName},
		DNSNames:              []string{serverName},
		NotBefore:             time.Date(2000, 1, 1, 0, 0, 0, 0, time.UTC),
		NotAfter:              time.Date(2100, 1, 1, 0, 0, 0, 0, time.UTC),
		IsCA:                  true,
		BasicConstraintsValid: true,
		KeyUsage:              x509.KeyUsageCertSign | x509.KeyUsageDigitalSignature,
		ExtKeyUsage:           []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}

	der, err := x509.CreateCertificate(nil, c, c, key.Public(), key)
	if err != nil {
		return Keys{}, merry.Prepend(err, "sign certificate")
	}

	parsed, err := x509.ParseCertificate(der)
	if err != nil {
		return Keys{}, merry.Prepend(err, "parse certificate")
	}

	pool := x509.NewCertPool()
	pool.AddCert(parsed)

	return Keys{tls.Certificate{Certificate: [][]byte{der}, PrivateKey: key}, pool}, nil
}
