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
}
