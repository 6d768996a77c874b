package adminapi

import (
	"bytes"
	"crypto/sha256"
	"crypto/subtle"
	"net/http"
	"os"
	"strings"

	"github.com/ansel1/merry/v2"

	"github.com/skylarkweir/skylarkweir/weir/request/fault"
)

const (
	// minToken is the least length of the operators' token in bytes.
	minTokenBytes = 16
	// guarded is what the paths begin with that need the token. Balancers and scrapers reach the others without it.
	guardedPrefix = "/v1/"
)

// Guard lets only requests with the operators' token through. The zero value lets all through.
type Guard struct {
	// digest is the SHA-256 of the token, or empty.
	digest []byte
}

// ReadGuard returns a guard with the token in a file, and one that lets all through without a file.
func ReadGuard(file string) (Guard, error) {
	token, err := ReadToken(file)
	if err != nil || token == "" {
		return Guard{}, err
	}

	sum := sha256.Sum256([]byte(token))

	return Guard{sum[:]}, nil
}

// ReadToken returns the token in a file, or nothing without a file. White space at its end is not part of it.
func ReadToken(file string) (string, error) {
	if file == "" {
		return "", nil
	}

	text, err := os.ReadFile(file) //nolint:gosec // the operator names the file
	if err != nil {
		return "", merry.Prepend(err, "read the operators' token")
	}

	token := bytes.TrimRight(text, " \t\r\n")
	if len(token) < minTokenBytes {
		return "", merry.Errorf("%s: the token has %d bytes, at least %d are needed", file, len(token), minTokenBytes)
	}

	return string(token), nil
}

// Wrap returns a handler that refuses requests without the token.
func (g Guard) Wrap(h http.Handler) http.Handler {
	if len(g.digest) == 0 {
		return h
	}

	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if strings.HasPrefix(r.URL.Path, guardedPrefix) && !g.isAuthorized(r) {
			err := fault.New(fault.Unauthenticated, "the header Authorization does not hold the operators' token")

			w.Header().Set("Content-Type", "application/json")
			w.WriteHeader(fault.KindOf(err).Status())
			_, _ = w.Write(fault.Marshal(err, ""))

			return
		}

		h.ServeHTTP(w, r)
	})
}

func (g Guard) isAuthorized(r *http.Request) bool {
	token, found := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	sum := sha256.Sum256([]byte(token))

	return found && subtle.ConstantTimeCompare(sum[:], g.digest) == 1
}
