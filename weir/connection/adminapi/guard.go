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
	// minTokenBytes is the minimum length of the operators' token.
	minTokenBytes = 16
	// guardedPrefix is the prefix of the paths that need the token. Load balancers and metrics scrapers use the other
	// paths without it.
	guardedPrefix = "/v1/"
)

// Guard rejects requests without the operators' token. The zero value accepts all requests.
type Guard struct {
	// digest is the SHA-256 of the token, or empty.
	digest []byte
}

// ReadGuard returns a guard with the token in the file, or one that accepts all requests if file is empty.
func ReadGuard(file string) (Guard, error) {
	token, err := ReadToken(file)
	if err != nil || token == "" {
		return Guard{}, err
	}

	sum := sha256.Sum256([]byte(token))

	return Guard{sum[:]}, nil
}

// ReadToken returns the token in the file without trailing white space, or an empty string if file is empty.
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
		return "", merry.Errorf("%s: the token has %d bytes, the minimum is %d", file, len(token), minTokenBytes)
	}

	return string(token), nil
}

// Wrap returns a handler that answers requests without the token with an Unauthenticated error.
func (g Guard) Wrap(h http.Handler) http.Handler {
	if len(g.digest) == 0 {
		return h
	}

	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if strings.HasPrefix(r.URL.Path, guardedPrefix) && !g.isAuthorized(r) {
			err := fault.New(fault.Unauthenticated, "the Authorization header does not contain the operators' token")

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
