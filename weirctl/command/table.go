package command

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
)

// printTable prints the column names and the rows, aligned in columns.
func printTable(w io.Writer, columns []string, rows [][]string) {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, strings.ToUpper(strings.Join(columns, "\t")))

	for _, r := range rows {
		fmt.Fprintln(t, strings.Join(r, "\t"))
	}

	_ = t.Flush()
}
