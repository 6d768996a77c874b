// Package command holds the commands of weirctl, one file each.
package command

import (
	"encoding/json"
	"io"

	"github.com/skylarkweir/skylarkweir/daemon/console"
)

// exitConflict is the exit code of a publication that lost to another one.
const exitConflict = 3

// globalOptions holds the options and the output that all commands share.
type globalOptions struct {
	out     io.Writer
	JSON    bool `long:"json" description:"Print JSON for programs instead of text"`
	Version bool `long:"version" description:"Print the version and exit"`
}

// Run executes the command line and returns the exit code: 0 done, 1 failed, 2 usage error, 3 conflict.
func Run(args []string, out, errOut io.Writer) int {
	options := &globalOptions{out: out}

	const description = "The operator's command line of skylarkweir.\n\n" +
		"Exit codes: 0 done, 1 failed, 2 wrong usage, 3 another publication won.\n\n" +
		"Examples:\n  weirctl check ./agreements\n  weirctl publish ./agreements --log http://127.0.0.1:7000\n" +
		"  weirctl status --entry http://127.0.0.1:7101"

	return console.NewProgram("weirctl", description, options, &options.Version, commands(options)).Run(args, out, errOut)
}

// commands lists the commands in the order of the help.
func commands(options *globalOptions) []console.Command {
	return []console.Command{
		newCheck(options), newPublish(options), newShow(options), newStatus(options), newExplain(options),
		newExplainPlacement(options), newDrain(options), newEvacuate(options), newKeys(options), newSettings(options),
		newCompletion(options),
	}
}

// print writes v as JSON if --json is set, and otherwise calls text.
func (o *globalOptions) print(v any, text func(w io.Writer)) error {
	if !o.JSON {
		text(o.out)

		return nil
	}

	e := json.NewEncoder(o.out)
	e.SetIndent("", "  ")

	return e.Encode(v)
}
