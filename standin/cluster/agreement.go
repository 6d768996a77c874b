package cluster

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"os"
	"path/filepath"

	"github.com/ansel1/merry/v2"

	"github.com/skylarkweir/skylarkweir/weir/version/agreement"
)

// fullPercent is the whole fleet: the limit of the only member, and the sum of the shares of all kinds.
const fullPercent = 100

// WriteAgreement writes agreement files with a single member, which may use the whole fleet, and a single service whose
// kinds have equal shares and are not urgent. Tests that need another agreement write their own files.
func WriteAgreement(directory, token string, kinds ...string) error {
	sum := sha256.Sum256([]byte(token))
	member := map[string]any{
		"name": "member", "limit_percent": fullPercent, "credential_sha256": hex.EncodeToString(sum[:]),
	}

	list := make([]map[string]any, 0, len(kinds))
	for _, k := range kinds {
		list = append(list, map[string]any{
			"name": k, "share_percent": fullPercent / len(kinds), "urgent": false, "max_cores": 2,
		})
	}

	for file, body := range map[string]any{
		agreement.AgreementFile: map[string]any{"agreement": "test", "members": []any{member}},
		agreement.ServiceFile:   map[string]any{"service": "service", "kinds": list},
	} {
		text, err := json.MarshalIndent(body, "", "  ")
		if err != nil {
			return merry.Wrap(err)
		}

		if err := os.MkdirAll(directory, 0o700); err != nil {
			return merry.Wrap(err)
		}

		if err := os.WriteFile(filepath.Join(directory, file), text, 0o600); err != nil {
			return merry.Wrap(err)
		}
	}

	return nil
}
