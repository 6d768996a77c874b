package command

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
)

// table prints aligned columns.
func table(w io.Writer, head []string, rows [][]string) {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, strings.ToUpper(strings.Join(head, "\t")))

	for _, r := range rows {
		fmt.Fprintln(t, strings.Join(r, "\t"))
	}

	_ = t.Flush()
}
