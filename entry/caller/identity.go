package caller

import (
	"net/http"
	"strings"

	"github.com/google/uuid"
	"github.com/gorilla/mux"

	"github.com/skylarkweir/skylarkweir/weir/request/fault"
	"github.com/skylarkweir/skylarkweir/weir/request/ticket"
)

func (s *Server) authenticate(r *http.Request) (string, error) {
	scheme, token, _ := strings.Cut(r.Header.Get("Authorization"), " ")
	if !strings.EqualFold(scheme, "Bearer") || token == "" {
		return "", fault.New(fault.Unauthenticated, "the header Authorization has no bearer token")
	}

	state := s.replica.State()
	if !state.Ready() {
		return "", fault.New(fault.NoAgreement, "no agreement has been read yet")
	}

	m, found := state.Agreement().MemberByToken(token)
	if !found {
		return "", fault.New(fault.Unauthenticated, "no member of the agreement has this token")
	}

	return m.Name(), nil
}

// identify returns the id and the ticket of a submission: the ticket that the caller sent, the one bound to its UUID,
// or a new one. The id is empty if the caller must not learn it.
func (s *Server) identify(r *http.Request, member string) (string, ticket.Ticket, error) {
	key := r.Header.Get(keyHeader)
	if key == "" {
		id, t := s.issuer.Issue(member)

		return id, t, nil
	}

	if len(key) != uuidLength {
		t, err := s.issuer.Verify(key, member)

		return key, t, withKeyField(err)
	}

	u, err := uuid.Parse(key)
	if err != nil {
		return "", ticket.Ticket{}, withKeyField(
			fault.Wrap(fault.InvalidRequest, err, "%s %q is not a UUID", keyHeader, key))
	}

	id, err := s.binder.Bind(r.Context(), member, u)
	if err != nil {
		return "", ticket.Ticket{}, withKeyField(err)
	}

	t, err := s.issuer.Verify(id, member)

	return id, t, err
}

// withEarlierTries returns the refusal of a request that was not looked up at the home of its submission. With a ticket or
// key it leaves open what ran, since any entry may have accepted an earlier try.
func withEarlierTries(r *http.Request, err error) error {
	if r.Header.Get(keyHeader) == "" {
		return err
	}

	return fault.WithRan(err, fault.RanUnknown)
}

// withKeyField sets the field of an error to the key header if the request is invalid.
func withKeyField(err error) error {
	if err == nil || fault.KindOf(err) != fault.InvalidRequest {
		return err
	}

	return fault.WithField(err, keyHeader)
}

func (s *Server) verifyPathTicket(r *http.Request, member string) (string, ticket.Ticket, error) {
	id := mux.Vars(r)["id"]
	t, err := s.issuer.Verify(id, member)

	return id, t, err
}
