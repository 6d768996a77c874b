package capacity

import (
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"

	"github.com/skylarkweir/skylarkweir/weir/version/agreement"
	"github.com/skylarkweir/skylarkweir/weir/version/ledger"
)

// publicationRecord returns a record that publishes an agreement with ten kinds on the version base. The credential of
// the first member is the token.
func publicationRecord(base int64, memberCount int, token string) ([]byte, error) {
	const (
		kindCount   = 10
		fullPercent = 100
	)

	members, kinds := []any{}, []any{}

	for i := range memberCount {
		sum := sha256.Sum256(fmt.Appendf(nil, "%s%d", token, i))
		if i == 0 {
			sum = sha256.Sum256([]byte(token))
		}

		members = append(members, map[string]any{
			"name": fmt.Sprintf("member-%03d", i), "limit_percent": fullPercent,
			"credential_sha256": hex.EncodeToString(sum[:]),
		})
	}

	for i := range kindCount {
		name := "scan"
		if i > 0 {
			name = fmt.Sprintf("kind-%d", i)
		}

		kinds = append(kinds, map[string]any{
			"name": name, "service": "service", "share_percent": fullPercent / kindCount, "urgent": i%2 == 1, "max_cores": 2,
		})
	}

	text, err := json.Marshal(map[string]any{"agreement": "capacity", "members": members, "kinds": kinds})
	if err != nil {
		return nil, err
	}

	a, err := agreement.Parse(text)
	if err != nil {
		return nil, err
	}

	nonce := make([]byte, 16)
	_, _ = rand.Read(nonce)

	return ledger.PublicationRecord(base, nonce, "capacity", a), nil
}
