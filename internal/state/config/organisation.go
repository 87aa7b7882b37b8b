package config

import (
	"cmp"
	"fmt"
	"reflect"
	"slices"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/figwick/figwick/internal/base/ident"
	"github.com/figwick/figwick/internal/state/apikey"
)

const (
	// maxOrganisationName is the maximum length of an organisation's name, which is sent to
	// backend servers in a header field.
	maxOrganisationName = 255
	// maxQuota is the maximum rate and burst of an organisation.
	maxQuota = 1e9
)

type (
	// OrganisationFault is one error in a list of organisations. It never contains an API
	// key.
	OrganisationFault struct {
		// Index is the number of the organisation in the list.
		Index int
		// Field is the YAML key of the faulty field, Element the index of its faulty
		// element or -1.
		Field   string
		Element int
		Text    string
	}

	// KeyedOrganisations is a list of organisations and the hashes of their API keys. It
	// holds no keys.
	KeyedOrganisations struct {
		Organisations []Organisation
		// Keys refer to Organisations by their index.
		Keys []apikey.Entry
	}

	// OrganisationSet finds the organisations of a Table. It is immutable, and several
	// Tables may share it. Nil has none.
	OrganisationSet struct {
		// all has the organisations at the indexes by which keys refers to them.
		all  []*Organisation
		keys *apikey.Table
		// byName has the organisations sorted by their names.
		byName []*Organisation
	}
)

// HashKeys returns the organisation with its keys replaced by their hashes.
func (o *Organisation) HashKeys() Organisation {
	hashed := *o
	hashed.Keys, hashed.KeyHashes = nil, slices.Clone(o.KeyHashes)
	for _, key := range o.Keys {
		hashed.KeyHashes = append(hashed.KeyHashes, apikey.Sum(key).String())
	}
	slices.Sort(hashed.KeyHashes)
	return hashed
}

// Add adds an organisation, whose keys are kept as hashes only. The error is that of a key
// hash which can't be read.
func (k *KeyedOrganisations) Add(o Organisation) error {
	owner := uint32(len(k.Organisations))
	for _, key := range o.Keys {
		k.Keys = append(k.Keys, apikey.Entry{Hash: apikey.Sum(key), Owner: owner})
	}
	for _, text := range o.KeyHashes {
		hash, err := apikey.ParseHash(text)
		if err != nil {
			return errors.Wrapf(err, "organisation %q", o.Name)
		}
		k.Keys = append(k.Keys, apikey.Entry{Hash: hash, Owner: owner})
	}
	o.Keys, o.KeyHashes = nil, nil
	k.Organisations = append(k.Organisations, o)
	return nil
}

// Equal reports whether two lists have the same organisations and keys in the same order.
func (k *KeyedOrganisations) Equal(other *KeyedOrganisations) bool {
	return k == other || slices.Equal(k.Keys, other.Keys) && reflect.DeepEqual(k.Organisations, other.Organisations)
}

// Clip releases memory that further calls of Add would use.
func (k *KeyedOrganisations) Clip() {
	k.Organisations, k.Keys = slices.Clip(k.Organisations), slices.Clip(k.Keys)
}

// NewOrganisationSet returns the organisations of several lists. It refers to them.
func NewOrganisationSet(lists []*KeyedOrganisations) *OrganisationSet {
	organisations, keys := 0, 0
	for _, l := range lists {
		organisations += len(l.Organisations)
		keys += len(l.Keys)
	}
	if organisations == 0 {
		return nil
	}
	s := &OrganisationSet{all: make([]*Organisation, 0, organisations)}
	entries := make([]apikey.Entry, 0, keys)
	for _, l := range lists {
		first := uint32(len(s.all))
		for i := range l.Organisations {
			s.all = append(s.all, &l.Organisations[i])
		}
		for _, e := range l.Keys {
			entries = append(entries, apikey.Entry{Hash: e.Hash, Owner: first + e.Owner})
		}
	}
	s.keys = apikey.NewTable(entries)
	s.byName = slices.Clone(s.all)
	slices.SortFunc(s.byName, func(a, b *Organisation) int { return cmp.Compare(a.Name, b.Name) })
	return s
}

// find returns the organisation that an API key belongs to.
func (s *OrganisationSet) find(key string) (*Organisation, bool) {
	if s == nil || key == "" {
		return nil, false
	}
	owner, found := s.keys.Find(apikey.Sum(key))
	if !found {
		return nil, false
	}
	return s.all[owner], true
}

// named returns the organisation of a name.
func (s *OrganisationSet) named(name ident.Organisation) (*Organisation, bool) {
	if s == nil {
		return nil, false
	}
	i, found := slices.BinarySearchFunc(s.byName, name,
		func(o *Organisation, name ident.Organisation) int { return cmp.Compare(o.Name, name) })
	if !found {
		return nil, false
	}
	return s.byName[i], true
}

// organisationSet returns the organisations, or nil if the configuration names none.
func (t *Table) organisationSet() *OrganisationSet {
	if t == nil {
		return nil
	}
	return t.organisations
}

// HasOrganisations reports whether the configuration names organisations, so that routes
// which are not public need an API key.
func (t *Table) HasOrganisations() bool {
	return t.organisationSet() != nil
}

// Organisation returns the organisation that an API key belongs to. The result doesn't
// contain its keys. It must not be modified.
func (t *Table) Organisation(key string) (*Organisation, bool) {
	return t.organisationSet().find(key)
}

// OrganisationLimit returns the quota of an organisation. It reports false if there is no such
// organisation. A Rate of 0 means no quota.
func (t *Table) OrganisationLimit(name ident.Organisation) (Limit, bool) {
	o, found := t.organisationSet().named(name)
	if !found {
		return Limit{}, false
	}
	return Limit{Rate: o.Rate, Burst: o.Burst}, true
}

// Organisations returns all organisations, without their keys. The caller must not modify
// them.
func (t *Table) Organisations() []*Organisation {
	if s := t.organisationSet(); s != nil {
		return s.all
	}
	return nil
}

// APIKeys returns the number of API keys of all organisations.
func (t *Table) APIKeys() int {
	if s := t.organisationSet(); s != nil {
		return s.keys.Len()
	}
	return 0
}

// CheckOrganisations returns the faults of a list of organisations.
func CheckOrganisations(list []Organisation) []OrganisationFault {
	c := organisationChecker{names: map[ident.Organisation]int{}, keys: map[apikey.Hash]int{}}
	for i := range list {
		c.check(i, &list[i])
	}
	return c.faults
}

// organisationChecker collects the faults of a list of organisations.
type organisationChecker struct {
	faults []OrganisationFault
	// names and keys map what has been seen so far to the index of its organisation.
	names map[ident.Organisation]int
	keys  map[apikey.Hash]int
}

func (c *organisationChecker) add(index int, field string, element int, format string, args ...any) {
	c.faults = append(c.faults, OrganisationFault{Index: index, Field: field, Element: element, Text: fmt.Sprintf(format, args...)})
}

func (c *organisationChecker) check(index int, o *Organisation) {
	if !isOrganisationName(string(o.Name)) {
		c.add(index, "name", -1, "it is not 1 to %d visible ASCII characters", maxOrganisationName)
	} else if first, duplicate := c.names[o.Name]; duplicate {
		c.add(index, "name", -1, "%q is also the name of organisation %d", o.Name, first)
	} else {
		c.names[o.Name] = index
	}
	for i, key := range o.Keys {
		if key == "" {
			c.add(index, "keys", i, "the key is empty")
			continue
		}
		c.checkKey(index, "keys", i, apikey.Sum(key))
	}
	for i, text := range o.KeyHashes {
		hash, err := apikey.ParseHash(text)
		if err != nil {
			c.add(index, "key-hashes", i, "%s", err)
			continue
		}
		c.checkKey(index, "key-hashes", i, hash)
	}
	if o.Priority != nil && (*o.Priority < 0 || *o.Priority > MaxPriority) {
		c.add(index, "priority", -1, "%d is outside 0 to %d as a rank", *o.Priority, MaxPriority)
	}
	c.checkQuota(index, "rate", o.Rate)
	c.checkQuota(index, "burst", o.Burst)
}

func (c *organisationChecker) checkKey(index int, field string, element int, hash apikey.Hash) {
	if first, duplicate := c.keys[hash]; duplicate {
		c.add(index, field, element, "the key is also one of organisation %d", first)
		return
	}
	c.keys[hash] = index
}

// checkQuota checks a rate or burst. The condition is also false for what is not a number.
func (c *organisationChecker) checkQuota(index int, field string, value float64) {
	if !(value >= 0 && value <= maxQuota) {
		c.add(index, field, -1, "%v is outside 0 to %v", value, maxQuota)
	}
}

// isOrganisationName reports whether a name can be the value of a header field.
func isOrganisationName(name string) bool {
	isHidden := func(r rune) bool { return r < '!' || r > '~' }
	return name != "" && len(name) <= maxOrganisationName && !strings.ContainsFunc(name, isHidden)
}
