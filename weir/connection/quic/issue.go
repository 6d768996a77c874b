package quic

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"os"
	"path/filepath"
	"time"

	"github.com/ansel1/merry/v2"
)

// File names that IssueKeys writes.
const (
	AuthorityFile   = "authority.pem"
	CertificateFile = "certificate.pem"
	KeyFile         = "key.pem"
)

// IssueKeys writes a new certificate authority and one certificate signed by it into dir, valid for the given time. It
// does not store the authority's private key, so another certificate needs a new set of files.
func IssueKeys(dir string, valid time.Duration) error {
	authorityKey, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return merry.Prepend(err, "generate key")
	}

	authority := certificateTemplate("skylarkweir authority", valid)
	authority.IsCA = true
	authority.BasicConstraintsValid = true
	authority.KeyUsage = x509.KeyUsageCertSign

	authorityDER, err := x509.CreateCertificate(rand.Reader, authority, authority, &authorityKey.PublicKey, authorityKey)
	if err != nil {
		return merry.Prepend(err, "sign authority")
	}

	leafKey, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return merry.Prepend(err, "generate key")
	}

	leaf := certificateTemplate(serverName, valid)
	leaf.DNSNames = []string{serverName}
	leaf.KeyUsage = x509.KeyUsageDigitalSignature
	leaf.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}

	leafDER, err := x509.CreateCertificate(rand.Reader, leaf, authority, &leafKey.PublicKey, authorityKey)
	if err != nil {
		return merry.Prepend(err, "sign certificate")
	}

	keyDER, err := x509.MarshalPKCS8PrivateKey(leafKey)
	if err != nil {
		return merry.Prepend(err, "encode key")
	}

	if err := os.MkdirAll(dir, 0o700); err != nil {
		return merry.Prepend(err, "create directory")
	}

	for _, f := range []struct {
		name, kind string
		body       []byte
	}{
		{AuthorityFile, "CERTIFICATE", authorityDER},
		{CertificateFile, "CERTIFICATE", leafDER},
		{KeyFile, "PRIVATE KEY", keyDER},
	} {
		text := pem.EncodeToMemory(&pem.Block{Type: f.kind, Bytes: f.body})
		if err := os.WriteFile(filepath.Join(dir, f.name), text, 0o600); err != nil {
			return merry.Prepend(err, "write keys")
		}
	}

	return nil
}

func certificateTemplate(name string, valid time.Duration) *x509.Certificate {
	serial, _ := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), 127))
	now := time.Now()

	return &x509.Certificate{
		SerialNumber: serial,
		Subject:      pkix.Name{CommonName: name},
		NotBefore:    now.Add(-time.Hour),
		NotAfter:     now.Add(valid),
	}
}
