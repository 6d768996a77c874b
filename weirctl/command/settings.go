package command

import (
	"fmt"
	"io"

	"github.com/skylarkweir/skylarkweir/daemon/console"
	entry "github.com/skylarkweir/skylarkweir/entry/process"
	sidecar "github.com/skylarkweir/skylarkweir/sidecar/process"
	"github.com/skylarkweir/skylarkweir/weir/process/settings"
)

// settingsCommand prints the settings keys of the daemons.
type settingsCommand struct {
	options  *globalOptions
	Markdown bool `long:"markdown" description:"Print the documentation page"`
	Args     struct {
		Program string `positional-arg-name:"PROGRAM" description:"entry or sidecar; both if omitted"`
	} `positional-args:"yes"`
}

// settingsOutput is one key in the JSON output.
type settingsOutput struct {
	Program  string `json:"program"`
	Key      string `json:"key"`
	Type     string `json:"type"`
	Unit     string `json:"unit,omitempty"`
	Range    string `json:"range,omitempty"`
	Default  string `json:"default"`
	Required bool   `json:"required"`
	Doc      string `json:"doc"`
}

// daemonKeys holds the settings keys of a daemon.
type daemonKeys struct {
	name string
	keys []settings.Key
}

func allDaemonKeys() []daemonKeys {
	return []daemonKeys{
		{"entry", settings.Describe(entry.Settings{})},
		{"sidecar", settings.Describe(sidecar.Settings{})},
	}
}

func newSettings(options *globalOptions) console.Command {
	return console.NewCommand(
		"settings", "List the settings keys of the daemons",
		"Lists every key with its type, unit, range and default, as defined in the code.\n\n"+
			"Examples:\n  weirctl settings entry\n  weirctl settings --markdown > docs/settings.md",
		&settingsCommand{options: options},
	)
}

// Execute runs the command.
func (s *settingsCommand) Execute([]string) error {
	var chosen []daemonKeys

	for _, p := range allDaemonKeys() {
		if s.Args.Program == "" || s.Args.Program == p.name {
			chosen = append(chosen, p)
		}
	}

	if len(chosen) == 0 {
		return console.NewUsageError(fmt.Sprintf("%q is neither entry nor sidecar", s.Args.Program))
	}

	if s.Markdown {
		writeSettingsPage(s.options.out, chosen)

		return nil
	}

	var output []settingsOutput

	for _, p := range chosen {
		for _, k := range p.keys {
			output = append(output, settingsOutput{
				p.name, k.Name(), k.Type(), k.Unit(), k.Range(), k.Default(), k.Required(), k.Doc(),
			})
		}
	}

	return s.options.print(output, func(w io.Writer) {
		for _, p := range chosen {
			rows := make([][]string, 0, len(p.keys))
			for _, k := range p.keys {
				rows = append(rows, []string{k.Name(), defaultText(k), k.Range(), k.Unit(), k.Doc()})
			}

			fmt.Fprintf(w, "%s:\n", p.name)
			printTable(w, []string{"key", "default", "range", "unit", "meaning"}, rows)
			fmt.Fprintln(w)
		}
	})
}

func defaultText(k settings.Key) string {
	switch {
	case k.Required():
		return "(required)"
	case k.Default() == "":
		return "(empty)"
	default:
		return k.Default()
	}
}
