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

// Names of the files that operators write.
const (
	AgreementFile = "agreement.weir.jsonc"
	ServiceFile   = "service.weir.jsonc"
)

const (
	// maxSlots and maxCores only protect against arithmetic overflow.
	maxSlots = 1_000_000
	maxCores = 1024
	// maxShareSum is in percent.
	maxShareSum = 100
)

// Parse reads the canonical form, which Marshal returns.
func Parse(data []byte) (*Agreement, error) {
	l := loader{}
	s := &sourceFile{path: "agreement", text: data, problems: &l.problems}

	if o, ok := s.parse(false); ok {
		l.name = o.name("agreement")
		l.addMembers(&o)
		l.addKinds(&o, "")
		o.rejectUnknownKeys()
	}

	return l.agreement()
}

// LoadDir reads the operators' files below dir: one AgreementFile, and one ServiceFile next to the code of each
// service. It skips hidden directories.
func LoadDir(dir string) (*Agreement, error) {
	l := loader{}

	err := filepath.WalkDir(dir, func(path string, e fs.DirEntry, err error) error {
		switch {
		case err != nil:
			return err
		case e.IsDir() && path != dir && strings.HasPrefix(e.Name(), "."):
			return filepath.SkipDir
		case e.IsDir():
			return nil
		case e.Name() == AgreementFile:
			return l.addFile(path, l.addAgreement)
		case e.Name() == ServiceFile:
			return l.addFile(path, l.addService)
		default:
			return nil
		}
	})
	if err != nil {
		return nil, merry.Prependf(err, "load agreement from %s", dir)
	}

	if l.agreementFile == "" {
		l.problems.add(fmt.Sprintf("%s: no file %s found", dir, AgreementFile))
	}

	return l.agreement()
}

// loader collects the parts of an agreement and checks the rules that span several parts or files.
type loader struct {
	problems      problemList
	name          string
	agreementFile string
	members       []Member
	kinds         []Kind
	shareSum      int
	// firstUses maps a list, key and value, such as "kinds.name=a", to the first place where the value is used.
	firstUses map[string]valueLocation
}

func (l *loader) agreement() (*Agreement, error) {
	if err := l.problems.err(); err != nil {
		return nil, err
	}

	return newAgreement(l.name, l.members, l.kinds), nil
}

func (l *loader) addFile(path string, add func(*objectReader)) error {
	text, err := os.ReadFile(path)
	if err != nil {
		return err
	}

	s := &sourceFile{path: path, text: text, problems: &l.problems}
	if o, ok := s.parse(true); ok {
		add(&o)
		o.rejectUnknownKeys()
	}

	return nil
}

func (l *loader) addAgreement(o *objectReader) {
	if l.agreementFile != "" {
		l.problems.add(fmt.Sprintf("%s: a second agreement; the first is %s; allowed: one", o.source.path, l.agreementFile))
	}

	l.agreementFile = o.source.path
	l.name = o.name("agreement")
	l.addMembers(o)
}

func (l *loader) addService(o *objectReader) {
	service := o.name("service")
	if service != "" {
		l.requireUnique(o, "service", service)
	}

	l.addKinds(o, service)
}

func (l *loader) addMembers(o *objectReader) {
	for _, m := range o.objects("members") {
		l.addMember(&m)
		m.rejectUnknownKeys()
	}
}

func (l *loader) addMember(o *objectReader) {
	m := Member{name: o.name("name")}
	if m.name != "" {
		l.requireUnique(o, "name", m.name)
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

	const allowed = "the SHA-256 of the token as 64 lower-case hexadecimal digits"

	text := o.text("credential_sha256", allowed)
	decoded, err := hex.DecodeString(text)

	switch {
	case text == "":
	case err != nil || len(decoded) != sha256.Size || text != strings.ToLower(text):
		o.reject("credential_sha256", allowed)
	default:
		m.credential = [sha256.Size]byte(decoded)
		l.requireUnique(o, "credential_sha256", text)
	}

	l.members = append(l.members, m)
}

// addKinds adds the kinds of a service. In the canonical form, service is empty and each kind names its own.
func (l *loader) addKinds(o *objectReader, service string) {
	for _, k := range o.objects("kinds") {
		l.addKind(&k, service, service == "" && !o.has("service"))
		k.rejectUnknownKeys()
	}
}

func (l *loader) addKind(o *objectReader, service string, readService bool) {
	k := Kind{name: o.name("name"), service: service, maxCores: 1}
	if k.name != "" {
		l.requireUnique(o, "name", k.name)
	}

	if readService {
		k.service = o.name("service")
	}

	k.sharePercent = o.integer("share_percent", 1, maxShareSum)
	k.urgent = o.boolean("urgent")

	if o.has("max_cores") {
		k.maxCores = o.integer("max_cores", 1, maxCores)
	}

	if l.shareSum <= maxShareSum && l.shareSum+k.sharePercent > maxShareSum {
		o.source.reject(o.fields["share_percent"], o.keyPath("share_percent"),
			strconv.Itoa(k.sharePercent), fmt.Sprintf("shares of all kinds that add up to at most %d; %d are left",
				maxShareSum, maxShareSum-l.shareSum))
	}

	l.shareSum += k.sharePercent
	l.kinds = append(l.kinds, k)
}

// valueLocation is the location of a value in a file. The line is determined only if an error needs it.
type valueLocation struct {
	source *sourceFile
	value  hujson.Value
}

// String returns file and line.
func (v valueLocation) String() string {
	return fmt.Sprintf("%s:%d", v.source.path, v.source.line(v.value))
}

// requireUnique rejects a value that is used already for the same key in an object of the same type.
func (l *loader) requireUnique(o *objectReader, key, value string) {
	if l.firstUses == nil {
		l.firstUses = map[string]valueLocation{}
	}

	list, _, _ := strings.Cut(o.path, "[")
	id := list + "." + key + "=" + value

	if first, duplicate := l.firstUses[id]; duplicate {
		o.reject(key, "values used once; this one is used at "+first.String())

		return
	}

	l.firstUses[id] = valueLocation{o.source, o.fields[key]}
}
