package command

import (
	"fmt"
	"io"
	"strconv"

	"github.com/skylarkweir/skylarkweir/daemon/console"
	"github.com/skylarkweir/skylarkweir/weir/version/agreement"
)

// check combines the agreement files into one agreement and checks it.
type check struct {
	options *globalOptions
	Args    struct {
		Directory string `positional-arg-name:"DIR" description:"Directory with agreement.weir.jsonc and service.weir.jsonc files"`
	} `positional-args:"yes" required:"yes"`
	Print bool `long:"print" description:"Print the collected form"`
}

// checkOutput is the JSON output.
type checkOutput struct {
	Members []string    `json:"members"`
	Kinds   []checkKind `json:"kinds"`
}

type checkKind struct {
	Name     string `json:"name"`
	Service  string `json:"service"`
	Share    int    `json:"share_percent"`
	Urgent   bool   `json:"urgent"`
	MaxCores int    `json:"max_cores"`
}

func newCheck(options *globalOptions) console.Command {
	return console.NewCommand(
		"check", "Collect and check the agreement files",
		"Collects the agreement files below a directory into one agreement and checks it, without publishing it.\n\n"+
			"Example:\n  weirctl check ./agreements", &check{options: options},
	)
}

// Execute runs the command.
func (c *check) Execute([]string) error {
	a, err := agreement.LoadDir(c.Args.Directory)
	if err != nil {
		return err
	}

	if c.Print {
		fmt.Fprintf(c.options.out, "%s\n", a.Marshal())

		return nil
	}

	b := checkOutput{}
	for _, m := range a.Members() {
		b.Members = append(b.Members, m.Name())
	}

	for _, k := range a.Kinds() {
		b.Kinds = append(b.Kinds, checkKind{k.Name(), k.Service(), k.SharePercent(), k.Urgent(), k.MaxCores()})
	}

	return c.options.print(b, func(w io.Writer) {
		rows := make([][]string, 0, len(b.Kinds))
		for _, k := range b.Kinds {
			rows = append(rows, []string{
				k.Name, k.Service, strconv.Itoa(k.Share) + "%", strconv.FormatBool(k.Urgent), strconv.Itoa(k.MaxCores),
			})
		}

		printTable(w, []string{"kind", "service", "share", "urgent", "max cores"}, rows)
		fmt.Fprintf(w, "the agreement is valid: %d members, %d kinds\n", len(b.Members), len(b.Kinds))
	})
}
