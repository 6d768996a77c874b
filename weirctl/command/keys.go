package command

import (
	"fmt"
	"io"
	"time"

	"github.com/skylarkweir/skylarkweir/daemon/console"
	"github.com/skylarkweir/skylarkweir/weir/connection/quic"
)

// keys writes a certificate authority, a certificate and its key for entries and sidecars.
type keys struct {
	options *globalOptions
	Valid   time.Duration `long:"valid" default:"8760h" description:"How long the certificate is valid"`
	Args    struct {
		Directory string `positional-arg-name:"DIR" description:"Directory for the files"`
	} `positional-args:"yes" required:"yes"`
}

// keysOutput is the JSON output.
type keysOutput struct {
	Directory string   `json:"directory"`
	Files     []string `json:"files"`
}

func newKeys(options *globalOptions) console.Command {
	return console.NewCommand(
		"keys", "Generate the keys of a system",
		"Writes a new certificate authority and a certificate with its key, which all entries and sidecars of a system use.\n\n"+
			"Example:\n  weirctl keys ./keys --valid 720h", &keys{options: options},
	)
}

// Execute runs the command.
func (k *keys) Execute([]string) error {
	if k.Valid <= 0 {
		return console.NewUsageError("--valid must be positive")
	}

	if err := quic.IssueKeys(k.Args.Directory, k.Valid); err != nil {
		return err
	}

	b := keysOutput{k.Args.Directory, []string{quic.AuthorityFile, quic.CertificateFile, quic.KeyFile}}

	return k.options.print(b, func(w io.Writer) {
		for _, f := range b.Files {
			fmt.Fprintf(w, "wrote %s/%s\n", b.Directory, f)
		}
	})
}
