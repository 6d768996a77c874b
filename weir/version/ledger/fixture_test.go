package ledger_test

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"time"

	"github.com/skylarkweir/skylarkweir/weir/connection/wire"
	"github.com/skylarkweir/skylarkweir/weir/version/agreement"
	"github.com/skylarkweir/skylarkweir/weir/version/ledger"
)

var epoch = time.UnixMilli(1_700_000_000_000)

// testLog builds the records of a log.
type testLog struct {
	records []ledger.Record
	now     time.Time
}

func (l *testLog) add(data []byte) {
	if l.now.IsZero() {
		l.now = epoch
	}

	l.now = l.now.Add(time.Millisecond)
	l.records = append(l.records, ledger.NewRecord(int64(len(l.records)), l.now, data))
}

func (l *testLog) state() *ledger.State { return (&ledger.State{}).Apply(l.records...) }

func (l *testLog) end() int64 { return int64(len(l.records)) }

// testingT is a *testing.T, *testing.F or *rapid.T.
type testingT interface {
	Helper()
	Fatal(args ...any)
}

// agreementWithMember returns an agreement with one member, whose name distinguishes versions.
func agreementWithMember(t testingT, member string) *agreement.Agreement {
	t.Helper()

	a, err := agreement.Parse([]byte(agreementText(member)))
	if err != nil {
		t.Fatal(err)
	}

	return a
}

func agreementText(members ...string) string {
	text := `{"agreement":"test","kinds":[],"members":[`

	for i, m := range members {
		if i > 0 {
			text += ","
		}

		digest := sha256.Sum256([]byte(m))
		text += fmt.Sprintf(`{"name":%q,"limit_percent":0.5,"credential_sha256":%q}`, m, hex.EncodeToString(digest[:]))
	}

	return text + `]}`
}

func worker(name string, incarnation uint64) *wire.Worker {
	w := &wire.Worker{}
	w.SetName(name)
	w.SetIncarnation(incarnation)
	w.SetSlots(64)

	return w
}

func entry(name string, incarnation uint64) *wire.Entry {
	e := &wire.Entry{}
	e.SetName(name)
	e.SetIncarnation(incarnation)
	e.SetAddress("127.0.0.1:1")

	return e
}

func publication(t testingT, base int64, member string) []byte {
	t.Helper()

	return ledger.PublicationRecord(base, []byte(member), "operator", agreementWithMember(t, member))
}
