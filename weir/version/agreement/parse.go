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
	maxSlots    = 1_000_000
	maxCores    = 1024
	maxShareSum = 100
)

// Parse reads the collected form.
func Parse(data []byte) (*Agreement, error) {
	c := loader{}
	s := &sourceFile{file: "agreement", text: data, problems: &c.problems}

	if o, ok := s.parse(false); ok {
		c.name = o.name("agreement")
		c.addMembers(&o)
		c.addKinds(&o, "")
		o.rejectUnknownKeys()
	}

	return c.agreement()
}

// Collect reads the operators' files below dir: one AgreementFile, and one ServiceFile beside each service's code.
// Hidden directories are left out.
func LoadDir(dir string) (*Agreement, error) {
	c := loader{}

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
type loader struct {
	problems      problemList
	name          string
	agreementFile string
	members       []Member
	kinds         []Kind
	shareSum      int
	// seen maps kind of name and name to the place where it was first used.
	firstUses map[string]valueLocation
}

func (c *loader) agreement() (*Agreement, error) {
	if err := c.problems.err(); err != nil {
		return nil, err
	}

	return newAgreement(c.name, c.members, c.kinds), nil
}

func (c *loader) addFile(path string, add func(*objectReader)) error {
	text, err := os.ReadFile(path)
	if err != nil {
		return err
	}

	s := &sourceFile{file: path, text: text, problems: &c.problems}
	if o, ok := s.parse(true); ok {
		add(&o)
		o.rejectUnknownKeys()
	}

	return nil
}

func (c *loader) addAgreement(o *objectReader) {
	if c.agreementFile != "" {
		c.problems.add(fmt.Sprintf("%s: a second agreement; the first is %s; allowed: one", o.source.file, c.agreementFile))
	}

	c.agreementFile = o.source.file
	c.name = o.name("agreement")
	c.addMembers(o)
}

func (c *loader) addService(o *objectReader) {
	service := o.name("service")
	if service != "" {
		c.requireUnique(o, "service", service)
	}

	c.addKinds(o, service)
}

func (c *loader) addMembers(o *objectReader) {
	for _, m := range o.objects("members") {
		c.addMember(&m)
		m.rejectUnknownKeys()
	}
}

func (c *loader) addMember(o *objectReader) {
	m := Member{name: o.name("name")}
	if m.name != "" {
		c.requireUnique(o, "name", m.name)
	}

	slots, percent := o.has("limit_slots"), o.has("limit_percent")

	switch {
	case slots == percent:
		o.source.reject(o.value, o.keyPath("limit_slots"), "this combination", "exactly one of limit_slots and limit_percent")
	case slots:
		m.limitSlots = o.integer("limit_slots", 1, maxSlots)
	default:
		m.limitBasisPoints = o.basisPoints("limit_percent")
	}

	const digest = "the SHA-256 of the token as 64 lower-case hexadecimal digits"

	text := o.text("credential_sha256", digest)
	raw, err := hex.DecodeString(text)

	switch {
	case text == "":
	case err != nil || len(raw) != sha256.Size || text != strings.ToLower(text):
		o.reject("credential_sha256", digest)
	default:
		m.credential = [sha256.Size]byte(raw)
		c.requireUnique(o, "credential_sha256", text)
	}

	c.members = append(c.members, m)
}

// addKinds takes the service from each kind if it is empty, as in the collected form.
func (c *loader) addKinds(o *objectReader, service string) {
	for _, k := range o.objects("kinds") {
		c.addKind(&k, service, service == "" && !o.has("service"))
		k.rejectUnknownKeys()
	}
}

func (c *loader) addKind(o *objectReader, service string, collected bool) {
	k := Kind{name: o.name("name"), service: service, maxCores: 1}
	if k.name != "" {
		c.requireUnique(o, "name", k.name)
	}

	if collected {
		k.service = o.name("service")
	}

	k.sharePercent = o.integer("share_percent", 1, maxShareSum)
	k.urgent = o.boolean("urgent")

	if o.has("max_cores") {
		k.maxCores = o.integer("max_cores", 1, maxCores)
	}

	if c.shareSum <= maxShareSum && c.shareSum+k.sharePercent > maxShareSum {
		o.source.reject(o.fields["share_percent"], o.keyPath("share_percent"),
			strconv.Itoa(k.sharePercent), fmt.Sprintf("shares of all kinds that add up to at most %d; %d are left", maxShareSum, maxShareSum-c.shareSum))
	}

	c.shareSum += k.sharePercent
	c.kinds = append(c.kinds, k)
}

// place is a value in a file. Its line is only looked up for an error.
type valueLocation struct {
	source *sourceFile
	value  hujson.Value
}

// String returns file and line.
func (p valueLocation) String() string {
	return fmt.Sprintf("%s:%d", p.source.file, p.source.line(p.value))
}

// unique rejects a value that was used before for the same key in an object of the same type.
func (c *loader) requireUnique(o *objectReader, key, value string) {
	if c.firstUses == nil {
		c.firstUses = map[string]valueLocation{}
	}

	list, _, _ := strings.Cut(o.path, "[")
	id := list + "." + key + "=" + value

	if first, twice := c.firstUses[id]; twice {
		o.reject(key, "values used once; this one is used at "+first.String())

		return
	}

	c.firstUses[id] = valueLocation{o.source, o.fields[key]}
}
