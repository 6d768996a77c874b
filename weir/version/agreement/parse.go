package agreement

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"strconv"
	"strings"

	"github.com/ansel1/merry/v2"
	"github.com/tailscale/hujson"
)

// Names of the operators' files.
const (
	AgreementFile = "agreement.weir.jsonc"
	ServiceFile   = "service.weir.jsonc"
)

const (
	// maxSlots and maxCores only keep arithmetic far from overflow.
	maxSlots = 1_000_000
	maxCores = 1024
	wholeSum = 100
)

// Parse reads the collected form.
func Parse(data []byte) (*Agreement, error) {
	c := collector{}
	s := &source{file: "agreement", text: data, problems: &c.problems}

	if o, ok := s.parse(false); ok {
		c.name = o.name("agreement")
		c.addMembers(&o)
		c.addKinds(&o, "")
		o.end()
	}

	return c.agreement()
}

// Collect reads the operators' files below dir: one AgreementFile, and one ServiceFile beside each service's code.
// Hidden directories are left out.
func LoadDir(dir string) (*Agreement, error) {
	c := collector{}

	err := filepath.WalkDir(dir, func(path string, e fs.DirEntry, err error) error {
		switch {
		case err != nil:
			return err
		case e.IsDir() && path != dir && strings.HasPrefix(e.Name(), "."):
			return filepath.SkipDir
		case e.IsDir():
			return nil
		case e.Name() == AgreementFile:
			return c.addFile(path, c.addAgreement)
		case e.Name() == ServiceFile:
			return c.addFile(path, c.addService)
		default:
			return nil
		}
	})
	if err != nil {
		return nil, merry.Prependf(err, "collect agreement from %s", dir)
	}

	if c.agreementFile == "" {
		c.problems.add(fmt.Sprintf("%s: no file %s found", dir, AgreementFile))
	}

	return c.agreement()
}

// collector gathers the parts and checks what concerns several of them.
type collector struct {
	problems      problems
	name          string
	agreementFile string
	members       []Member
	kinds         []Kind
	shares        int
	// seen maps kind of name and name to the place where it was first used.
	seen map[string]place
}

func (c *collector) agreement() (*Agreement, error) {
	if err := c.problems.err(); err != nil {
		return nil, err
	}

	return newAgreement(c.name, c.members, c.kinds), nil
}

func (c *collector) addFile(path string, add func(*object)) error {
	text, err := os.ReadFile(path)
	if err != nil {
		return err
	}

	s := &source{file: path, text: text, problems: &c.problems}
	if o, ok := s.parse(true); ok {
		add(&o)
		o.end()
	}

	return nil
}

func (c *collector) addAgreement(o *object) {
	if c.agreementFile != "" {
		c.problems.add(fmt.Sprintf("%s: a second agreement; the first is %s; allowed: one", o.source.file, c.agreementFile))
	}

	c.agreementFile = o.source.file
	c.name = o.name("agreement")
	c.addMembers(o)
}

func (c *collector) addService(o *object) {
	service := o.name("service")
	if service != "" {
		c.unique(o, "service", service)
	}

	c.addKinds(o, service)
}

func (c *collector) addMembers(o *object) {
	for _, m := range o.objects("members") {
		c.addMember(&m)
		m.end()
	}
}

func (c *collector) addMember(o *object) {
	m := Member{name: o.name("name")}
	if m.name != "" {
		c.unique(o, "name", m.name)
	}

	slots, percent := o.has("limit_slots"), o.has("limit_percent")

	switch {
	case slots == percent:
		o.source.wrong(o.at, o.key("limit_slots"), "this combination", "exactly one of limit_slots and limit_percent")
	case slots:
		m.slots = o.whole("limit_slots", 1, maxSlots)
	default:
		m.hundredths = o.hundredths("limit_percent")
	}

	const digest = "the SHA-256 of the token as 64 lower-case hexadecimal digits"

	text := o.text("credential_sha256", digest)
	raw, err := hex.DecodeString(text)

	switch {
	case text == "":
	case err != nil || len(raw) != sha256.Size || text != strings.ToLower(text):
		o.wrong("credential_sha256", digest)
	default:
		m.credential = [sha256.Size]byte(raw)
		c.unique(o, "credential_sha256", text)
	}

	c.members = append(c.members, m)
}

// addKinds takes the service from each kind if it is empty, as in the collected form.
func (c *collector) addKinds(o *object, service string) {
	for _, k := range o.objects("kinds") {
		c.addKind(&k, service, service == "" && !o.has("service"))
		k.end()
	}
}

func (c *collector) addKind(o *object, service string, collected bool) {
	k := Kind{name: o.name("name"), service: service, maxCores: 1}
	if k.name != "" {
		c.unique(o, "name", k.name)
	}

	if collected {
		k.service = o.name("service")
	}

	k.sharePercent = o.whole("share_percent", 1, wholeSum)
	k.urgent = o.boolean("urgent")

	if o.has("max_cores") {
		k.maxCores = o.whole("max_cores", 1, maxCores)
	}

	if c.shares <= wholeSum && c.shares+k.sharePercent > wholeSum {
		o.source.wrong(o.fields["share_percent"], o.key("share_percent"),
			strconv.Itoa(k.sharePercent), fmt.Sprintf("shares of all kinds that add up to at most %d; %d are left", wholeSum, wholeSum-c.shares))
	}

	c.shares += k.sharePercent
	c.kinds = append(c.kinds, k)
}

// place is a value in a file. Its line is only looked up for an error.
type place struct {
	source *source
	value  hujson.Value
}

// String returns file and line.
func (p place) String() string {
	return fmt.Sprintf("%s:%d", p.source.file, p.source.line(p.value))
}

// unique rejects a value that was used before for the same key in an object of the same type.
func (c *collector) unique(o *object, key, value string) {
	if c.seen == nil {
		c.seen = map[string]place{}
	}

	list, _, _ := strings.Cut(o.path, "[")
	id := list + "." + key + "=" + value

	if first, twice := c.seen[id]; twice {
		o.wrong(key, "values used once; this one is used at "+first.String())

		return
	}

	c.seen[id] = place{o.source, o.fields[key]}
}
