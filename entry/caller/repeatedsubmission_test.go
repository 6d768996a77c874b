package caller_test

import (
	"encoding/json"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/matryer/is"

	"github.com/skylarkweir/skylarkweir/weir/connection/wire"
	"github.com/skylarkweir/skylarkweir/weir/request/ticket"
)

// Guards against a refusal that says that nothing of a submission ran, though only this try of it was looked at: an
// earlier one with the same ticket or key may have been accepted.
func TestRefusedRepeatDoesNotSettleASubmission(t *testing.T) {
	own := key.Sign(ticket.New(netip.MustParseAddrPort("127.0.0.1:9"), ownIncarnation, 1, "a", 0, time.Now().Add(time.Minute)))
	large := strings.Repeat(" ", 1025)

	for name, c := range map[string]struct{ token, key, body, ran string }{
		"large body, ticket":       {"token-a", own, large, "unknown"},
		"large body, key":          {"token-a", uuid.Must(uuid.NewV7()).String(), large, "unknown"},
		"large body, new":          {"token-a", "", large, "none"},
		"invalid body, ticket":     {"token-a", own, `{"kind":1}`, "unknown"},
		"invalid body, key":        {"token-a", uuid.Must(uuid.NewV7()).String(), `{"kind":1}`, "unknown"},
		"invalid body, new":        {"token-a", "", `{"kind":1}`, "none"},
		"ticket of another member": {"token-b", own, oneTask, "unknown"},
		"no ticket of this system": {"token-a", "mine", oneTask, "none"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newFixture(t, true)

			_, body := f.do(is, f.request("POST", "/v1/requests", c.token, c.key, c.body))

			var e errorResponse
			is.NoErr(json.Unmarshal(body, &e))
			is.Equal(e.Error.Ran, c.ran)
		})
	}

	t.Run("invalid body, forwarded", func(t *testing.T) {
		is := is.New(t)
		f := newFixture(t, true)

		reply, _ := f.local.Serve(t.Context(), wire.Forward_builder{
			Operation: "submit", Submission: own, Member: "a", Form: "request", Body: []byte(`{"kind":1}`),
			Incarnation: ownIncarnation,
		}.Build())

		var e errorResponse
		is.NoErr(json.Unmarshal(reply.Body(), &e))
		is.Equal(e.Error.Ran, "unknown")
	})
}
