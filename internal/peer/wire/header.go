package wire

import (
	"net/http"
	"net/textproto"
	"slices"
	"strings"

	"golang.org/x/net/http/httpguts"
)

// hopByHop are the headers that apply to a single connection and are not forwarded.
var hopByHop = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// FromHeader converts headers to messages, sorted by name. It leaves out hop-by-hop
// headers and those that the Connection header lists.
func FromHeader(h http.Header) []*Header {
	skip := connectionHeaders(h)
	names := make([]string, 0, len(h))
	count, size := 0, 0
	for name, values := range h {
		if slices.Contains(hopByHop, name) || slices.Contains(skip, name) {
			continue
		}
		names = append(names, name)
		count += len(values)
		for _, value := range values {
			size += len(value)
		}
	}
	slices.Sort(names)
	fields := make([]Header, 0, count)
	list := make([]*Header, 0, count)
	text := make([]byte, 0, size)
	for _, name := range names {
		for _, value := range h[name] {
			start := len(text)
			text = append(text, value...)
			fields = append(fields, Header{Name: name, Value: text[start:len(text):len(text)]})
			list = append(list, &fields[len(fields)-1])
		}
	}
	return list
}

// ToHeader converts header messages to an http.Header.
func ToHeader(list []*Header) http.Header {
	h := make(http.Header, len(list))
	for _, field := range list {
		h[field.Name] = append(h[field.Name], string(field.Value))
	}
	return h
}

// ValidNames reports whether the names of all header messages are names of header fields. A peer of an earlier
// version passes on others.
func ValidNames(list []*Header) bool {
	return !slices.ContainsFunc(list, func(h *Header) bool { return !httpguts.ValidHeaderFieldName(h.Name) })
}

// connectionHeaders returns the canonical names that the Connection header lists.
func connectionHeaders(h http.Header) []string {
	var names []string
	for _, value := range h["Connection"] {
		for name := range strings.SplitSeq(value, ",") {
			names = append(names, textproto.CanonicalMIMEHeaderKey(strings.TrimSpace(name)))
		}
	}
	return names
}
