package command_test

import (
	"path/filepath"
	"testing"

	"github.com/matryer/is"

	entry "github.com/skylarkweir/skylarkweir/entry/process"
	sidecar "github.com/skylarkweir/skylarkweir/sidecar/process"
	"github.com/skylarkweir/skylarkweir/weir/version/agreement"
)

// processesPerRole is the number of entries, and of workers, of each deployment in section 1 of docs/design.md.
const processesPerRole = 12

// Guards against example files that the daemons reject, and against deployment sizes that differ from docs/design.md.
func TestExamples(t *testing.T) {
	for name, size := range map[string]struct{ cores, memoryMB int }{
		"ruderwerk": {64, 256_000}, "granite-hollow": {32, 64_000},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			directory := filepath.Join("../../examples", name)

			a, err := agreement.LoadDir(filepath.Join(directory, "agreement"))
			is.NoErr(err)
			is.Equal(len(a.Members()), 3)
			is.Equal(len(a.Kinds()), 3)

			entries, err := filepath.Glob(filepath.Join(directory, "settings/entry-*.jsonc"))
			is.NoErr(err)
			is.Equal(len(entries), processesPerRole)

			names, domains := map[string]bool{}, map[string]bool{}
			for _, file := range entries {
				s, err := entry.Load(file)
				is.NoErr(err)
				is.Equal(s.Slots(), 8)
				names[s.Name()], domains[s.FailureDomain()] = true, true
			}
			is.Equal(len(names), processesPerRole)
			is.Equal(len(domains), 3)

			workers, err := filepath.Glob(filepath.Join(directory, "settings/sidecar-*.jsonc"))
			is.NoErr(err)
			is.Equal(len(workers), processesPerRole)

			racks, listens := map[string]int{}, map[string]bool{}
			clear(domains)
			for _, file := range workers {
				s, err := sidecar.Load(file)
				is.NoErr(err)
				is.Equal(s.Slots(), size.cores)
				is.Equal(s.MemoryMB(), size.memoryMB)
				w := s.Worker()
				racks[w.GetFailureDomain()+"/"+w.GetRack()]++
				domains[w.GetFailureDomain()], listens[s.Listen()] = true, true
			}
			is.Equal(len(domains), 3)
			is.Equal(len(listens), processesPerRole)
			is.Equal(len(racks), 4)
			for _, n := range racks {
				is.Equal(n, 3) // workers per rack
			}
		})
	}
}
