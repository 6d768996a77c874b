package command

import (
	"fmt"

	"github.com/skylarkweir/skylarkweir/daemon/console"
)

// completion prints a completion script for a shell.
type completion struct {
	options *globalOptions
	Args    struct {
		Shell string `positional-arg-name:"SHELL" choice:"bash" description:"bash"`
	} `positional-args:"yes" required:"yes"`
}

// bashScript runs the program itself, whose option parser prints completions if GO_FLAGS_COMPLETION is set.
const bashScript = `_weirctl() {
    local IFS=$'\n'
    COMPREPLY=($(GO_FLAGS_COMPLETION=1 "${COMP_WORDS[0]}" "${COMP_WORDS[@]:1:$COMP_CWORD}"))
    return 0
}
complete -o default -F _weirctl weirctl
`

func newCompletion(options *globalOptions) console.Command {
	return console.NewCommand(
		"completion", "Print a completion script for the shell",
		"Prints a script that completes commands and options.\n\nExample:\n  source <(weirctl completion bash)",
		&completion{options: options},
	)
}

// Execute runs the command.
func (c *completion) Execute([]string) error {
	if c.Args.Shell != "bash" {
		return console.NewUsageError("the only supported shell is bash")
	}

	fmt.Fprint(c.options.out, bashScript)

	return nil
}
