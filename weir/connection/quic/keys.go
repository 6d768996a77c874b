package quic

import (
	"crypto/sha256"
	"crypto/tls"
	"crypto/x509"
	"os"

	"github.com/ansel1/merry/v2"
	quicgo "github.com/quic-go/quic-go"
)

// serverName is the DNS name in every certificate. Addresses change too often to be certified.
const serverName = "skylarkweir"

// Keys holds a process's certificate and the authorities that it trusts.
type Keys struct {
	certificate tls.Certificate
	authority   *x509.CertPool
}

// LoadKeys reads PEM files. The authority file may hold several certificates, all of which are trusted.
func LoadKeys(certificateFile, keyFile, authorityFile string) (Keys, error) {
	certificate, err := tls.LoadX509KeyPair(certificateFile, keyFile)
	if err != nil {
		return Keys{}, merry.Prepend(err, "load certificate")
	}

	pem, err := os.ReadFile(authorityFile)
	if err != nil {
		return Keys{}, merry.Prepend(err, "load authority")
	}

	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return Keys{}, merry.Errorf("load authority: %s contains no valid certificate", authorityFile)
	}

	return Keys{certificate, pool}, nil
}

// statelessReset returns the key from which a process derives the tokens that tell a peer that its connection belongs to
// an earlier process at the same address. It follows from the private key, so it survives a restart. It is nil, which
// turns the tokens off, if the private key cannot be encoded.
func (k Keys) statelessReset() *quicgo.StatelessResetKey {
	der, err := x509.MarshalPKCS8PrivateKey(k.certificate.PrivateKey)
	if err != nil {
		return nil
	}

	key := quicgo.StatelessResetKey(sha256.Sum256(append([]byte("stateless reset "), der...)))

	return &key
}

func (k Keys) server() *tls.Config {
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{k.certificate},
		ClientAuth:   tls.RequireAndVerifyClientCert,
		ClientCAs:    k.authority,
		NextProtos:   []string{protocol},
	}
}

func (k Keys) client() *tls.Config {
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{k.certificate},
		RootCAs:      k.authority,
		ServerName:   serverName,
		NextProtos:   []string{protocol},
	}
}
