package front

import "net/http"

// MayStartEarly reports whether a request without a body may be served before the requests
// ahead of it on its connection are answered: it may run more than once, and this process is
// not about to end. All else is checked when the request is served.
func (s *Server) MayStartEarly(r *http.Request) bool {
	if s.stopBy.Load() != nil {
		return false
	}
	options, err := s.config.HeaderCodec.Read(r.Header)
	if err != nil || options.NonRepeatable {
		return false
	}
	// All parts of a route are repeatable or none is, so any draw does.
	match, found := s.Table().Match(r.Host, r.Method, targetPath(r), 0)
	return found && match.Repeatable
}
