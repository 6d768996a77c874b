// Package agreement reads and holds what the organisations agreed on: the members with their limits, and the kinds of
// task with their shares.
package agreement

import (
	"bytes"
	"crypto/sha256"
	"encoding/json"
	"slices"
	"strings"
)

// Agreement is immutable. The zero value has no members and no kinds.
type Agreement struct {
	name string
	// members and kinds are sorted by name, and names are unique.
	members []Member
	kinds   []Kind
	// byCredential maps the SHA-256 of a token to an index of members.
	byCredential map[[sha256.Size]byte]int
	// maxCores is the largest max_cores of the kinds.
	maxCores int
	// encoded is the canonical form; equal agreements have equal bytes.
	encoded []byte
}

func newAgreement(name string, members []Member, kinds []Kind) *Agreement {
	slices.SortFunc(members, func(a, b Member) int { return strings.Compare(a.name, b.name) })
	slices.SortFunc(kinds, func(a, b Kind) int { return strings.Compare(a.name, b.name) })

	a := &Agreement{
		name: name, members: members, kinds: kinds, byCredential: make(map[[sha256.Size]byte]int, len(members)),
	}
	for i, m := range members {
		a.byCredential[m.credential] = i
	}

	for _, k := range kinds {
		a.maxCores = max(a.maxCores, k.maxCores)
	}

	a.encoded = a.encode()

	return a
}

// Name returns the name of the agreement.
func (a *Agreement) Name() string { return a.name }

// Members returns all members in the order of their names.
func (a *Agreement) Members() []Member { return slices.Clone(a.members) }

// Member returns the member with the name, and false if there is none.
func (a *Agreement) Member(name string) (Member, bool) {
	i, ok := slices.BinarySearchFunc(a.members, name, func(m Member, n string) int { return strings.Compare(m.name, n) })
	if !ok {
		return Member{}, false
	}

	return a.members[i], true
}

// MemberByToken returns the member whose credential is the SHA-256 of token, and false if there is none.
func (a *Agreement) MemberByToken(token string) (Member, bool) {
	i, ok := a.byCredential[sha256.Sum256([]byte(token))]
	if !ok {
		return Member{}, false
	}

	return a.members[i], true
}

// Kinds returns all kinds in the order of their names.
func (a *Agreement) Kinds() []Kind { return slices.Clone(a.kinds) }

// Kind returns the kind with the name, and false if there is none.
func (a *Agreement) Kind(name string) (Kind, bool) {
	i, ok := slices.BinarySearchFunc(a.kinds, name, func(k Kind, n string) int { return strings.Compare(k.name, n) })
	if !ok {
		return Kind{}, false
	}

	return a.kinds[i], true
}

// Granule returns the unit, in slots, in which the member's limit is divided among the workers: the largest max_cores
// of all kinds, so that any task fits into one granule, but at most the limit.
func (a *Agreement) Granule(m Member, fleetSlots int) int {
	return min(max(a.maxCores, 1), m.Limit(fleetSlots))
}

// Marshal returns the canonical form, which Parse reads. Equal agreements have equal bytes.
func (a *Agreement) Marshal() []byte {
	if a.encoded == nil {
		return a.encode()
	}

	return bytes.Clone(a.encoded)
}

// agreementJSON is the canonical form of an agreement: one JSON object without comments.
type agreementJSON struct {
	Agreement string       `json:"agreement"`
	Members   []memberJSON `json:"members"`
	Kinds     []kindJSON   `json:"kinds"`
}

type memberJSON struct {
	Name             string      `json:"name"`
	LimitSlots       int         `json:"limit_slots,omitempty"`
	LimitPercent     json.Number `json:"limit_percent,omitempty"`
	CredentialSHA256 string      `json:"credential_sha256"`
}

type kindJSON struct {
	Name         string `json:"name"`
	Service      string `json:"service"`
	SharePercent int    `json:"share_percent"`
	Urgent       bool   `json:"urgent"`
	MaxCores     int    `json:"max_cores"`
}

func (a *Agreement) encode() []byte {
	b := agreementJSON{
		Agreement: a.name, Members: make([]memberJSON, 0, len(a.members)), Kinds: make([]kindJSON, 0, len(a.kinds)),
	}
	for _, m := range a.members {
		b.Members = append(b.Members, m.json())
	}

	for _, k := range a.kinds {
		b.Kinds = append(b.Kinds, kindJSON{k.name, k.service, k.sharePercent, k.urgent, k.maxCores})
	}

	// Marshal cannot fail: the value holds only strings, booleans, integers and numbers formatted from integers.
	encoded, _ := json.Marshal(b)

	return encoded
}
