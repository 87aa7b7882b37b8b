package accept

import (
	"bytes"
	"compress/flate"
	"encoding/json"
	"io"

	"github.com/cockroachdb/errors"

	"github.com/figwick/figwick/internal/base/ident"
	"github.com/figwick/figwick/internal/state/config"
)

type (
	// chunk is one chunk as a node holds it: its services in compiled form, its
	// caller limits in compact form, and its compressed text for peers that
	// fetch it.
	chunk struct {
		entries []*config.Entry
		callers config.CallerLimitSet
		hosts   []config.Host
		intake  *config.Intake
		// organisations is nil if the chunk has none.
		organisations *config.KeyedOrganisations
		compressed    []byte
	}

	// bucketLimits looks up a caller's limit in the bucket that the caller's hash
	// selects. The buckets are in the order that split gave them.
	bucketLimits struct {
		buckets []*chunk
	}
)

// parseChunk decodes a chunk and compiles its services.
func parseChunk(text []byte) (*chunk, error) {
	var records []record
	if err := json.Unmarshal(text, &records); err != nil {
		return nil, errors.Wrap(err, "decode")
	}
	parsed := &chunk{}
	for _, r := range records {
		if r.Service != nil {
			parsed.entries = append(parsed.entries, config.CompileService(r.Service))
		}
		if r.Caller != nil {
			parsed.callers.Add(r.CallerService, *r.Caller)
		}
		if r.Host != nil {
			parsed.hosts = append(parsed.hosts, *r.Host)
		}
		if r.Intake != nil {
			parsed.intake = r.Intake
		}
		if r.Organisation != nil {
			if err := parsed.addOrganisation(r.Organisation); err != nil {
				return nil, err
			}
		}
	}
	if parsed.organisations != nil {
		parsed.organisations.Clip()
	}
	parsed.callers.Sort()
	compressed, err := compress(text)
	parsed.compressed = compressed
	return parsed, err
}

func (c *chunk) addOrganisation(o *config.Organisation) error {
	if c.organisations == nil {
		c.organisations = &config.KeyedOrganisations{}
	}
	return errors.Wrap(c.organisations.Add(*o), "decode")
}

func compress(text []byte) ([]byte, error) {
	var compressed bytes.Buffer
	w, err := flate.NewWriter(&compressed, flate.BestSpeed)
	if err != nil {
		return nil, errors.Wrap(err, "pack")
	}
	if _, err := w.Write(text); err != nil {
		return nil, errors.Wrap(err, "pack")
	}
	if err := w.Close(); err != nil {
		return nil, errors.Wrap(err, "pack")
	}
	return bytes.Clone(compressed.Bytes()), nil
}

func (c *chunk) text() ([]byte, error) {
	text, err := io.ReadAll(flate.NewReader(bytes.NewReader(c.compressed)))
	return text, errors.Wrap(err, "unpack")
}

// Find implements config.CallerLimits.
func (l *bucketLimits) Find(service ident.Service, caller ident.Caller) (config.Limit, bool) {
	bucket := bucketOf(config.CallerHash(service, caller), len(l.buckets))
	return l.buckets[bucket].callers.Find(service, caller)
}
