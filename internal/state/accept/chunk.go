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
	// targetChunkBytes is the mean chunk size that split aims for.
	targetChunkBytes = 16 << 10
	// maxBuckets bounds the number of chunks, so that their names fit into the
	// groups and the groups' names into a Head.
	maxBuckets = 8192
	// hashBytes is the length of the truncated SHA-256 in a chunk's name.
	hashBytes = 16
)

type (
	// record is one element of a chunk: a service without its caller limits, one
	// caller's limit, a host, the intake settings of the whole file, or an organisation with
	// the hashes of its API keys.
	record struct {
		Service *config.Service `json:"service,omitempty"`
		// CallerService is the service that Caller belongs to.
		CallerService ident.Service       `json:"of,omitempty"`
		Caller        *config.CallerLimit `json:"caller,omitempty"`
		Host          *config.Host        `json:"host,omitempty"`
		Intake        *config.Intake      `json:"intake,omitempty"`

		Organisation *config.Organisation `json:"organisation,omitempty"`
	}

	// keyedRecord is an encoded record and the key whose hash selects its bucket.
	keyedRecord struct {
		key  string
		text json.RawMessage
	}
)

// split divides a file into the texts of its chunks, one chunk for each bucket. A
// record's bucket changes only with the number of buckets, so a small change of
// the file changes few chunks. The number of buckets is a power of two; it is
// doubled until the largest chunk fits into a value of the store.
func split(file *config.File) ([][]byte, error) {
	records, total, err := encodeRecords(file)
	if err != nil {
		return nil, err
	}
	count := 1 << bits.Len(uint(total/targetChunkBytes))
	for ; count <= maxBuckets; count *= 2 {
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

// encodeRecords returns the file's records sorted by key, and the sum of their
// sizes in bytes.
func encodeRecords(file *config.File) ([]keyedRecord, int, error) {
	var records []keyedRecord
	total := 0
	encode := func(key string, r record) error {
		text, err := json.Marshal(r)
		if err != nil {
			return errors.Wrapf(err, "accept: encode %s", key)
		}
		records = append(records, keyedRecord{key: key, text: text})
		total += len(text)
		return nil
	}
	for i := range file.Services {
		s := file.Services[i]
		callers := s.Limits.Callers
		s.Limits.Callers = nil
		if err := encode(string(s.Name), record{Service: &s}); err != nil {
			return nil, 0, err
		}
		for j := range callers {
			key := fmt.Sprintf("%s/%s", s.Name, callers[j].ID)
			if err := encode(key, record{CallerService: s.Name, Caller: &callers[j]}); err != nil {
				return nil, 0, err
			}
		}
	}
	for i := range file.Hosts {
		if err := encode("host/"+file.Hosts[i].Name, record{Host: &file.Hosts[i]}); err != nil {
			return nil, 0, err
		}
	}
	if err := encode("intake/", record{Intake: &file.Intake}); err != nil {
		return nil, 0, err
	}
	for i := range file.Organisations {
		hashed := file.Organisations[i].HashKeys()
		if err := encode("organisation/"+string(hashed.Name), record{Organisation: &hashed}); err != nil {
			return nil, 0, err
		}
	}
	slices.SortFunc(records, func(a, b keyedRecord) int { return cmp.Compare(a.key, b.key) })
	return records, total, nil
}

// fillBuckets distributes records over count buckets and returns the encoded
// buckets. Empty buckets are included.
func fillBuckets(records []keyedRecord, count int) ([][]byte, error) {
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

// bucketOf returns the bucket index of a hash.
func bucketOf(hash uint64, count int) int {
	return int(hash % uint64(count))
}

func largest(chunks [][]byte) int {
	longest := 0
	for _, c := range chunks {
		longest = max(longest, len(c))
	}
	return longest
}

// join reassembles a file from the texts of its chunks, in any order.
func join(chunks [][]byte) (*config.File, error) {
	var records []record
	for _, text := range chunks {
		var decoded []record
		if err := json.Unmarshal(text, &decoded); err != nil {
			return nil, errors.Wrap(err, "accept: decode chunk")
		}
		records = append(records, decoded...)
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
		if r.Organisation != nil {
			file.Organisations = append(file.Organisations, *r.Organisation)
		}
	}
	slices.SortFunc(file.Organisations, func(a, b config.Organisation) int { return cmp.Compare(a.Name, b.Name) })
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
		s, found := byName[r.CallerService]
		if !found {
			return nil, errors.Newf("accept: limit of caller %q refers to unknown service %q", r.Caller.ID, r.CallerService)
		}
		s.Limits.Callers = append(s.Limits.Callers, *r.Caller)
	}
	for i := range file.Services {
		callers := file.Services[i].Limits.Callers
		slices.SortFunc(callers, func(a, b config.CallerLimit) int { return cmp.Compare(a.ID, b.ID) })
	}
	return file, nil
}

// contentHash returns the first part of a chunk's name, the hash of its content.
func contentHash(text []byte) string {
	sum := sha256.Sum256(text)
	return base64.RawURLEncoding.EncodeToString(sum[:hashBytes])
}

// chunkName returns a name of the form hash.revision.apply. The start of the apply
// id keeps the names of two applies apart that compete for one revision.
func chunkName(hash string, revision ident.Revision, apply ident.Apply) string {
	return fmt.Sprintf("%s.%d.%s", hash, revision, string(apply)[:min(len(apply), 8)])
}

// Verify reports whether a text matches the hash in a chunk's or group's name.
func Verify(name string, text []byte) bool {
	return hashFromName(name) == contentHash(text)
}

func hashFromName(name string) string {
	hash, _, _ := strings.Cut(name, ".")
	return hash
}

// groupNames divides the chunks' names into groups. The size of a group is about
// the square root of the number of names, so that neither a group nor the Head
// gets large.
func groupNames(names []string) [][]string {
	size := 1
	for size*size < len(names) {
		size *= 2
	}
	return slices.Collect(slices.Chunk(names, size))
}

// ParseGroup decodes a group, which is a list of chunk names.
func ParseGroup(text []byte) ([]string, error) {
	var names []string
	err := json.Unmarshal(text, &names)
	return names, errors.Wrap(err, "accept: decode group")
}

// revisionFromName returns the revision that first wrote a chunk. It reports false
// for a malformed name.
func revisionFromName(name string) (ident.Revision, bool) {
	parts := strings.Split(name, ".")
	if len(parts) != 3 {
		return 0, false
	}
	n, err := strconv.ParseUint(parts[1], 10, 64)
	return ident.Revision(n), err == nil
}
