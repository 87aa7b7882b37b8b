package accept

import (
	"cmp"
	"crypto/sha256"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"math/bits"
	"slices"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"github.com/figwick/figwick/internal/base/ident"
	"github.com/figwick/figwick/internal/state/config"
	"github.com/figwick/figwick/internal/state/store"
)

const (
	// chunkBytes is the size that chunks have on average.
	chunkBytes = 16 << 10
	// mostBuckets bounds the number of chunks: their names must fit a Head.
	mostBuckets = 8192
	hashBytes   = 16
)

type (
	// record is one service, one caller's limit, one host or what all share, in
	// a chunk.
	record struct {
		Service *config.Service     `json:"service,omitempty"`
		Of      ident.Service       `json:"of,omitempty"`
		Caller  *config.CallerLimit `json:"caller,omitempty"`
		Host    *config.Host        `json:"host,omitempty"`
		Intake  *config.Intake      `json:"intake,omitempty"`
	}

	keyed struct {
		key  string
		text json.RawMessage
	}
)

// split cuts a file into chunk texts. A record stays in its bucket as long as
// the number of buckets does, so that a small change touches few chunks.
func split(file *config.File) ([][]byte, error) {
	records, total, err := flatten(file)
	if err != nil {
		return nil, err
	}
	count := 1 << bits.Len(uint(total/chunkBytes))
	for ; count <= mostBuckets; count *= 2 {
		chunks, err := fillBuckets(records, count)
		if err != nil {
			return nil, err
		}
		if largest(chunks) <= store.MaxValueBytes {
			return chunks, nil
		}
	}
	return nil, errors.Newf("accept: a service does not fit into %d bytes", store.MaxValueBytes)
}

func flatten(file *config.File) ([]keyed, int, error) {
	var records []keyed
	total := 0
	add := func(key string, r record) error {
		text, err := json.Marshal(r)
		if err != nil {
			return errors.Wrapf(err, "accept: encode %s", key)
		}
		records = append(records, keyed{key: key, text: text})
		total += len(text)
		return nil
	}
	for i := range file.Services {
		s := file.Services[i]
		callers := s.Limits.Callers
		s.Limits.Callers = nil
		if err := add(string(s.Name), record{Service: &s}); err != nil {
			return nil, 0, err
		}
		for j := range callers {
			key := fmt.Sprintf("%s/%s", s.Name, callers[j].ID)
			if err := add(key, record{Of: s.Name, Caller: &callers[j]}); err != nil {
				return nil, 0, err
			}
		}
	}
	for i := range file.Hosts {
		if err := add("host/"+file.Hosts[i].Name, record{Host: &file.Hosts[i]}); err != nil {
			return nil, 0, err
		}
	}
	if err := add("intake/", record{Intake: &file.Intake}); err != nil {
		return nil, 0, err
	}
	slices.SortFunc(records, func(a, b keyed) int { return cmp.Compare(a.key, b.key) })
	return records, total, nil
}

func fillBuckets(records []keyed, count int) ([][]byte, error) {
	buckets := make([][]json.RawMessage, count)
	for i := range buckets {
		buckets[i] = []json.RawMessage{}
	}
	for _, r := range records {
		n := bucketOf(xxhash.Sum64String(r.key), count)
		buckets[n] = append(buckets[n], r.text)
	}
	chunks := make([][]byte, 0, count)
	for _, bucket := range buckets {
		text, err := json.Marshal(bucket)
		if err != nil {
			return nil, errors.Wrap(err, "accept: encode chunk")
		}
		chunks = append(chunks, text)
	}
	return chunks, nil
}

// bucketOf is the place of a record among so many buckets.
func bucketOf(hash uint64, count int) int {
	return int(hash % uint64(count))
}

func largest(chunks [][]byte) int {
	most := 0
	for _, c := range chunks {
		most = max(most, len(c))
	}
	return most
}

// join puts a file together from its chunks.
func join(chunks [][]byte) (*config.File, error) {
	var records []record
	for _, text := range chunks {
		var some []record
		if err := json.Unmarshal(text, &some); err != nil {
			return nil, errors.Wrap(err, "accept: decode chunk")
		}
		records = append(records, some...)
	}
	file := &config.File{Version: 1}
	for _, r := range records {
		if r.Service != nil {
			file.Services = append(file.Services, *r.Service)
		}
		if r.Host != nil {
			file.Hosts = append(file.Hosts, *r.Host)
		}
		if r.Intake != nil {
			file.Intake = *r.Intake
		}
	}
	slices.SortFunc(file.Hosts, func(a, b config.Host) int { return cmp.Compare(a.Name, b.Name) })
	slices.SortFunc(file.Services, func(a, b config.Service) int { return cmp.Compare(a.Name, b.Name) })
	byName := make(map[ident.Service]*config.Service, len(file.Services))
	for i := range file.Services {
		byName[file.Services[i].Name] = &file.Services[i]
	}
	for _, r := range records {
		if r.Caller == nil {
			continue
		}
		s, found := byName[r.Of]
		if !found {
			return nil, errors.Newf("accept: a caller's limit for the unknown service %q", r.Of)
		}
		s.Limits.Callers = append(s.Limits.Callers, *r.Caller)
	}
	for i := range file.Services {
		callers := file.Services[i].Limits.Callers
		slices.SortFunc(callers, func(a, b config.CallerLimit) int { return cmp.Compare(a.ID, b.ID) })
	}
	return file, nil
}

// hashOf is the part of a chunk's name that its content gives.
func hashOf(text []byte) string {
	sum := sha256.Sum256(text)
	return base64.RawURLEncoding.EncodeToString(sum[:hashBytes])
}

func nameOf(hash string, revision ident.Revision, apply ident.Apply) string {
	return fmt.Sprintf("%s.%d.%s", hash, revision, string(apply)[:min(len(apply), 8)])
}

// Verify reports whether a text is the content of the chunk of that name.
func Verify(name string, text []byte) bool {
	return hashIn(name) == hashOf(text)
}

func hashIn(name string) string {
	hash, _, _ := strings.Cut(name, ".")
	return hash
}

// group cuts the chunks' names into lists of about as many names as there are
// lists, so that neither a list nor the Head is large.
func group(names []string) [][]string {
	size := 1
	for size*size < len(names) {
		size *= 2
	}
	return slices.Collect(slices.Chunk(names, size))
}

// ParseGroup reads a list of chunks' names.
func ParseGroup(text []byte) ([]string, error) {
	var names []string
	err := json.Unmarshal(text, &names)
	return names, errors.Wrap(err, "accept: decode group")
}

// revisionOf is the revision that first wrote a chunk.
func revisionOf(name string) (ident.Revision, bool) {
	parts := strings.Split(name, ".")
	if len(parts) != 3 {
		return 0, false
	}
	n, err := strconv.ParseUint(parts[1], 10, 64)
	return ident.Revision(n), err == nil
}
