package node

import (
	"bytes"
	"compress/gzip"
	"io"

	"github.com/cockroachdb/errors"

	"github.com/figwick/figwick/internal/peer/wire"
)

const (
	// minCompressedBytes is the size from which on a configuration is sent compressed. A smaller
	// one fits into a few packets.
	minCompressedBytes = 16 << 10
	// maxTextBytes bounds a decompressed configuration.
	maxTextBytes = 4 * wire.MaxReplyBytes
)

// gzipMagic starts all data in gzip format, and no configuration.
var gzipMagic = []byte{0x1f, 0x8b}

// compressText returns a configuration in gzip format.
func compressText(text []byte) ([]byte, error) {
	var buffer bytes.Buffer
	w, err := gzip.NewWriterLevel(&buffer, gzip.BestSpeed)
	if err != nil {
		return nil, errors.Wrap(err, "node: compress configuration")
	}
	if _, err := w.Write(text); err != nil {
		return nil, errors.Wrap(err, "node: compress configuration")
	}
	if err := w.Close(); err != nil {
		return nil, errors.Wrap(err, "node: compress configuration")
	}
	return buffer.Bytes(), nil
}

// decompressText returns the text of a configuration that may be in gzip format.
func decompressText(data []byte) ([]byte, error) {
	if !bytes.HasPrefix(data, gzipMagic) {
		return data, nil
	}
	r, err := gzip.NewReader(bytes.NewReader(data))
	if err != nil {
		return nil, errors.Wrap(err, "node: decompress configuration")
	}
	text, err := io.ReadAll(io.LimitReader(r, maxTextBytes+1))
	if err != nil {
		return nil, errors.Wrap(err, "node: decompress configuration")
	}
	if len(text) > maxTextBytes {
		return nil, errors.Newf("node: decompress configuration: more than %d bytes", maxTextBytes)
	}
	return text, nil
}
