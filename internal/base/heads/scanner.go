package heads

import (
	"bytes"

	"github.com/cockroachdb/errors"
	"golang.org/x/net/http/httpguts"
)

// The positions of a Scanner.
const (
	inStatusLine position = iota
	atLineStart
	inEmptyLine
	inName
	inValue
	behindHead
)

type (
	// Scanner checks that each line of a response's head is a field, as the bytes arrive. The zero value expects
	// a status line, of which it checks nothing.
	//
	// net/http's reader takes a name with spaces for a name, and a line that begins with a space for a part of
	// the field before. Either way the field itself is lost, and it may have been the length of the body.
	Scanner struct {
		at  position
		err error
	}

	position int
)

// Scan takes the next bytes from the connection. It ignores those behind the head. An error matches ErrBroken, and
// each later call returns it again.
func (s *Scanner) Scan(p []byte) error {
	for len(p) > 0 && s.at != behindHead && s.err == nil {
		if s.at == inStatusLine || s.at == inValue {
			end := bytes.IndexByte(p, '\n')
			if end < 0 {
				break
			}
			p = p[end+1:]
			s.at = atLineStart
			continue
		}
		next, ok := s.step(p[0])
		if !ok {
			s.err = errors.Wrapf(ErrBroken, "line of the head with %q in place of a field's name", p[0])
			break
		}
		s.at = next
		p = p[1:]
	}
	return s.err
}

// step returns the position behind a byte that is not in a status line or a value. It reports false if the byte is
// not permitted there.
func (s *Scanner) step(b byte) (position, bool) {
	switch {
	case httpguts.IsTokenRune(rune(b)):
		return inName, s.at != inEmptyLine
	case b == ':':
		return inValue, s.at == inName
	case b == '\r':
		return inEmptyLine, s.at == atLineStart
	case b == '\n':
		return behindHead, s.at != inName
	default:
		return s.at, false
	}
}
