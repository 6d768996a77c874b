package pages_test

import (
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/skylarkweir/skylarkweir/weir/connection/wire"
	"github.com/skylarkweir/skylarkweir/weir/request/fault"
)

// Guards against error kinds, rejections and frames that are missing or wrong in protocol.md, and against error kinds
// that are missing in OPERATIONS.md.
func TestProtocolPage(t *testing.T) {
	is := is.New(t)
	protocol := tableRows(is, "protocol.md")
	text := readPage(is, "protocol.md")

	for _, k := range fault.Kinds() {
		cells := protocol[k.Code()]
		if cells == nil || cells[1] != strconv.Itoa(k.Status()) ||
			!strings.HasPrefix(cells[3], string(fault.RanOf(fault.New(k, "")))) {
			t.Errorf("protocol.md does not have %s with status %d and ran %s, but %v",
				k, k.Status(), fault.RanOf(fault.New(k, "")), cells)
		}

		if !strings.Contains(readPage(is, "OPERATIONS.md"), "`"+k.Code()+"`") {
			t.Errorf("error kind %s is not in OPERATIONS.md", k)
		}
	}

	for number, name := range wire.Rejection_name {
		if code := strings.ToLower(strings.TrimPrefix(name, "REJECTION_")); number != 0 {
			is.True(strings.Contains(text, "`"+code+"`"))
		}
	}

	for fields, i := (&wire.Frame{}).ProtoReflect().Descriptor().Fields(), 0; i < fields.Len(); i++ {
		if name := string(fields.Get(i).Message().Name()); !strings.Contains(text, "`"+name+"`") {
			t.Errorf("the frame %s is not in protocol.md", name)
		}
	}
}

// Guards against a README whose test command leaves out a module of the workspace, or that has no demo command.
func TestReadme(t *testing.T) {
	is := is.New(t)

	text, err := os.ReadFile(filepath.Join(root, "README.md"))
	is.NoErr(err)

	workspace, err := os.ReadFile(filepath.Join(root, "go.work"))
	is.NoErr(err)

	command := "go test -race"

	for line := range strings.Lines(string(workspace)) {
		if module := strings.TrimSpace(line); strings.HasPrefix(module, "./") {
			command += " " + module + "/..."
		}
	}

	is.True(strings.Contains(string(text), "\n    "+command+"\n"))
	is.True(strings.Contains(string(text), "\n    go run ./standin demo\n"))
}
