package command

import (
	"fmt"
	"io"
	"strings"
)

// settingsIntroduction is the part of the page that is not generated from the settings keys.
const settingsIntroduction = `# Settings

This page is generated from the code by ` + "`weirctl settings --markdown`" + `; a test compares it with the code.

A settings file is JSON with comments and trailing commas. Unknown keys, keys given twice, values of a wrong type or
unit, values out of range and missing required keys are refused, each with file, line and key. ` + "`--check-settings`" + `
checks a file and exits.

Durations are text with a unit, such as "250ms". Sizes are text with a unit, such as "96MB"; KB, MB and GB are powers of
1000, KiB, MiB and GiB powers of 1024. Ranges include both ends.
`

// fixedCallerLimits is the part of the page about limits of callers that have no key.
const fixedCallerLimits = `
## Limits of callers without a key

These limits hold at every HTTP server of an entry or a sidecar, in addition to the keys above.
[design/callers-budget.md](design/callers-budget.md) gives the reasons, and the limits on the users' platform, which are
fractions of the machine's.

| limit | default |
| --- | --- |
| header of a request | 16 KiB |
| fields of a header without Host | 256 |
| time without progress, 1 KiB, of a body or of the reading of an answer | 15 s |
| time of a whole body | 30 s |
| wait of a body for memory | 1 s, for a quarter of the connections at once |
| memory for the first 4 KiB of bodies | a quarter of ` + "`caller_memory`" + ` |
| time without progress after which a connection may be closed for another, while ` + "`caller_connections`" + ` is reached | 100 ms |
| connections to ` + "`callers`" + `, besides ` + "`caller_connections`" + ` | half of the descriptors that the process may open |
| connections to ` + "`admin`" + `, also of a sidecar | 64 |
| memory for bodies at ` + "`admin`" + `, also of a sidecar | 1 MiB |
`

// writeSettingsPage writes docs/settings.md.
func writeSettingsPage(w io.Writer, chosen []daemonKeys) {
	fmt.Fprint(w, settingsIntroduction)

	for _, p := range chosen {
		fmt.Fprintf(w, "\n## %s\n\n| key | meaning | type | unit | range | default |\n| --- | --- | --- | --- | --- | --- |\n", p.name)

		for _, k := range p.keys {
			cells := []string{"`" + k.Name() + "`", k.Doc(), k.Type(), k.Unit(), k.Range(), defaultText(k)}
			for i, c := range cells {
				cells[i] = strings.ReplaceAll(c, "|", `\|`)
			}

			fmt.Fprintf(w, "| %s |\n", strings.Join(cells, " | "))
		}
	}

	fmt.Fprint(w, fixedCallerLimits)
}
