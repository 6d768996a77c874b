package adminapi_test

import (
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"testing"

	"github.com/matryer/is"

	"github.com/skylarkweir/skylarkweir/weir/connection/adminapi"
)

const token = "0123456789abcdef"

func tokenFile(t *testing.T, text string) string {
	t.Helper()

	file := filepath.Join(t.TempDir(), "token")
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}

	return file
}

// Guards against admin requests that are accepted without the operators' token or with a wrong one, and against health
// checks that are rejected for lack of a token.
func TestGuard(t *testing.T) {
	is := is.New(t)

	done := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNoContent) })
	status := func(g adminapi.Guard, path, header string) int {
		r := httptest.NewRequest(http.MethodPost, path, nil)
		if header != "" {
			r.Header.Set("Authorization", header)
		}

		w := httptest.NewRecorder()
		g.Wrap(done).ServeHTTP(w, r)

		return w.Code
	}

	g, err := adminapi.ReadGuard(tokenFile(t, token+"\n"))
	is.NoErr(err)
	is.Equal(status(g, "/v1/drain", ""), http.StatusUnauthorized)
	is.Equal(status(g, "/v1/drain", "Bearer "), http.StatusUnauthorized)
	is.Equal(status(g, "/v1/drain", "Bearer "+token+"x"), http.StatusUnauthorized)
	is.Equal(status(g, "/v1/drain", token), http.StatusUnauthorized)
	is.Equal(status(g, "/v1/drain", "Bearer "+token), http.StatusNoContent)
	is.Equal(status(g, "/readyz", ""), http.StatusNoContent)

	open, err := adminapi.ReadGuard("")
	is.NoErr(err)
	is.Equal(status(open, "/v1/drain", ""), http.StatusNoContent)
}

// Guards against an admin API that is silently left open because the token file is missing or its token is too short.
func TestBadTokenFiles(t *testing.T) {
	is := is.New(t)

	_, err := adminapi.ReadGuard(filepath.Join(t.TempDir(), "none"))
	is.True(err != nil)

	_, err = adminapi.ReadGuard(tokenFile(t, "short"))
	is.True(err != nil)
}
