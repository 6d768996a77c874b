package capacity

import (
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"

	"github.com/gorilla/mux"

	"github.com/skylarkweir/skylarkweir/standin/leasedbackend"
)

// lossyServer is a backend server that carries out all calls and leaves out a share of the answers.
type lossyServer struct {
	backend *leasedbackend.Server
	http    *httptest.Server
	// connections is the number of connections that were opened.
	connections atomic.Int64

	mu sync.Mutex
	// lostPercent is the share of the answers that are left out, drawn from random.
	lostPercent int
	random      *rand.Rand
}

// lossySeed makes the lost answers those of the same calls in each run.
const lossySeed = 31

func newLossyServer(lostPercent int) *lossyServer {
	s := &lossyServer{
		backend: leasedbackend.New("instance-1"), lostPercent: lostPercent, random: rand.New(rand.NewPCG(lossySeed, 0)), //nolint:gosec // no secret
	}

	router := mux.NewRouter()
	router.Use(s.loseAnswers)
	s.backend.Register(router)

	s.http = httptest.NewUnstartedServer(router)
	s.http.Config.ConnState = func(_ net.Conn, state http.ConnState) {
		if state == http.StateNew {
			s.connections.Add(1)
		}
	}
	s.http.Start()

	return s
}

// loseAnswers is middleware that carries out a call and then, for a share of them, waits until nobody waits for the answer.
func (s *lossyServer) loseAnswers(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !s.drawLoss() {
			next.ServeHTTP(w, r)

			return
		}

		next.ServeHTTP(httptest.NewRecorder(), r)
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	})
}

func (s *lossyServer) drawLoss() bool {
	const percent = 100

	s.mu.Lock()
	defer s.mu.Unlock()

	return s.random.IntN(percent) < s.lostPercent
}
