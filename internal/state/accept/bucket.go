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
	// chunk is one chunk as a node holds it: its services ready for requests,
	// its callers in little memory, and its text packed, for peers.
	chunk struct {
		entries []*config.Entry
		callers config.Callers
		hosts   []config.Host
		intake  *config.Intake
		packed  []byte
	}

	// bucketLimits finds callers' limits in the bucket that their hash names.
	bucketLimits struct {
		buckets []*chunk
	}
)

// readChunk makes a chunk of its text.
func readChunk(text []byte) (*chunk, error) {
	var records []record
	if err := json.Unmarshal(text, &records); err != nil {
		return nil, errors.Wrap(err, "decode")
	}
	c := &chunk{}
	for _, r := range records {
		if r.Service != nil {
			c.entries = append(c.entries, config.CompileService(r.Service))
		}
		if r.Caller != nil {
			c.callers.Add(r.Of, *r.Caller)
		}
		if r.Host != nil {
			c.hosts = append(c.hosts, *r.Host)
		}
		if r.Intake != nil {
			c.intake = r.Intake
		}
	}
	c.callers.Sort()
	packed, err := pack(text)
	c.packed = packed
	return c, err
}

func pack(text []byte) ([]byte, error) {
	var packed bytes.Buffer
	w, err := flate.NewWriter(&packed, flate.BestSpeed)
	if err != nil {
		return nil, errors.Wrap(err, "pack")
	}
	if _, err := w.Write(text); err != nil {
		return nil, errors.Wrap(err, "pack")
	}
	if err := w.Close(); err != nil {
		return nil, errors.Wrap(err, "pack")
	}
	return bytes.Clone(packed.Bytes()), nil
}

func (c *chunk) text() ([]byte, error) {
	text, err := io.ReadAll(flate.NewReader(bytes.NewReader(c.packed)))
	return text, errors.Wrap(err, "unpack")
}

// Find returns one caller's limit.
func (l *bucketLimits) Find(service ident.Service, caller ident.Caller) (config.Limit, bool) {
	at := bucketOf(config.CallerHash(service, caller), len(l.buckets))
	return l.buckets[at].callers.Find(service, caller)
}
