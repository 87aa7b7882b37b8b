package admin

import (
	"context"
	"crypto/subtle"
	"encoding/json"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/goccy/go-yaml"
	"github.com/kataras/iris/v12"

	"github.com/figwick/figwick/internal/base/ident"
	"github.com/figwick/figwick/internal/proxy/node"
	"github.com/figwick/figwick/internal/state/accept"
	"github.com/figwick/figwick/internal/state/config"
)

const (
	// applyTimeout bounds an apply while the store is unavailable.
	applyTimeout = 20 * time.Second
	// statusTimeout bounds a status call, which queries every node of the fleet.
	statusTimeout = 10 * time.Second
)

type (
	// Node is the part of node.Node that the API uses.
	Node interface {
		Ready() node.Ready
		Status(ctx context.Context) node.Status
		Dump() node.Dump
		// Configuration returns the active configuration file. The revision is zero
		// if there is none yet.
		Configuration() (ident.Revision, *config.File, error)
		Apply(ctx context.Context, r accept.Request) (accept.Result, error)
		// Stop begins a graceful stop and does not wait for it.
		Stop()
	}

	// server handles the API's calls.
	server struct {
		node Node
		// token is the bearer token of the operators. Empty admits everyone.
		token string
	}

	// ApplyReply is the response to an apply or a check, and to any call that fails.
	// Faults are the errors found in the file, Detail is a message.
	ApplyReply struct {
		accept.Result
		Faults config.Faults `json:"faults,omitempty"`
		Detail string        `json:"detail,omitempty"`
	}

	// Difference is one entry of the response to a diff.
	Difference struct {
		// Service is empty for an organisation.
		Service      ident.Service      `json:"service,omitempty"`
		Organisation ident.Organisation `json:"organisation,omitempty"`
		// Change is "added", "changed" or "removed".
		Change string `json:"change"`
	}
)

// Handler returns the operators' API of a node. If the token is not empty, every call
// must carry it as a bearer token. If metrics is not nil, it serves /v1/metrics.
func Handler(n Node, token string, metrics http.Handler) http.Handler {
	s := &server{node: n, token: token}
	app := iris.New()
	app.Configure(iris.WithoutStartupLog, iris.WithoutBanner, iris.WithoutInterruptHandler,
		iris.WithoutBodyConsumptionOnUnmarshal)
	app.Logger().SetLevel("disable")
	app.UseRouter(s.authorize)
	v1 := app.Party("/v1")
	v1.Get("/ready", s.ready)
	v1.Get("/status", s.status)
	v1.Get("/dump", func(c iris.Context) { writeJSON(c, http.StatusOK, n.Dump()) })
	v1.Get("/config", s.getConfig)
	v1.Post("/config", s.apply)
	v1.Post("/config/check", s.check)
	v1.Post("/config/diff", s.diff)
	v1.Post("/drain", s.drain)
	if metrics != nil {
		v1.Get("/metrics", iris.FromStd(metrics))
	}
	if err := app.Build(); err != nil {
		return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			http.Error(w, err.Error(), http.StatusInternalServerError)
		})
	}
	return app
}

// authorize rejects calls without the token, if one is configured.
func (s *server) authorize(c iris.Context) {
	given, bears := strings.CutPrefix(c.GetHeader("Authorization"), "Bearer ")
	if s.token == "" || bears && subtle.ConstantTimeCompare([]byte(given), []byte(s.token)) == 1 {
		c.Next()
		return
	}
	writeJSON(c, http.StatusUnauthorized, ApplyReply{Detail: "a bearer token is needed"})
}

func (s *server) ready(c iris.Context) {
	r := s.node.Ready()
	status := http.StatusOK
	if !r.Ready {
		status = http.StatusServiceUnavailable
	}
	writeJSON(c, status, r)
}

func (s *server) status(c iris.Context) {
	ctx, done := context.WithTimeout(c.Request().Context(), statusTimeout)
	defer done()
	writeJSON(c, http.StatusOK, s.node.Status(ctx))
}

// getConfig returns the active configuration file, as YAML or, with format=json, as JSON.
func (s *server) getConfig(c iris.Context) {
	revision, file, err := s.node.Configuration()
	if revision == 0 {
		writeJSON(c, http.StatusNotFound, ApplyReply{Detail: "no configuration is in force"})
		return
	}
	if err != nil {
		writeJSON(c, http.StatusInternalServerError, ApplyReply{Detail: err.Error()})
		return
	}
	c.Header("Figwick-Revision", strconv.FormatUint(uint64(revision), 10))
	if c.URLParam("format") == "json" {
		writeJSON(c, http.StatusOK, file)
		return
	}
	text, err := yaml.Marshal(file)
	if err != nil {
		writeJSON(c, http.StatusInternalServerError, ApplyReply{Detail: err.Error()})
		return
	}
	c.ContentType("application/yaml")
	_, _ = c.Write(text)
}

func (s *server) check(c iris.Context) {
	if _, ok := s.readFile(c); ok {
		writeJSON(c, http.StatusOK, ApplyReply{Detail: "the file is valid"})
	}
}

// readFile parses the body as a configuration file. If it is too large or invalid,
// readFile sends the response and returns false.
func (s *server) readFile(c iris.Context) (*config.File, bool) {
	c.SetMaxRequestBodySize(config.MaxFileBytes)
	text, err := c.GetBody()
	if err != nil {
		writeJSON(c, http.StatusRequestEntityTooLarge, ApplyReply{Detail: err.Error()})
		return nil, false
	}
	file, err := config.Parse(text)
	var faults config.Faults
	if errors.As(err, &faults) {
		writeJSON(c, http.StatusUnprocessableEntity, ApplyReply{Faults: faults, Detail: "the file is invalid; nothing has changed"})
		return nil, false
	}
	if err != nil {
		writeJSON(c, http.StatusUnprocessableEntity, ApplyReply{Detail: err.Error()})
		return nil, false
	}
	return file, true
}

func (s *server) apply(c iris.Context) {
	file, ok := s.readFile(c)
	if !ok {
		return
	}
	expect, err := strconv.ParseUint(c.URLParamDefault("expect", "0"), 10, 64)
	if err != nil {
		writeJSON(c, http.StatusBadRequest, ApplyReply{Detail: "expect: must be a revision"})
		return
	}
	ctx, done := context.WithTimeout(c.Request().Context(), applyTimeout)
	defer done()
	result, err := s.node.Apply(ctx, accept.Request{
		File:   file,
		Apply:  ident.NewApply(),
		By:     c.URLParamDefault("by", "unnamed"),
		Expect: ident.Revision(expect),
	})
	writeResult(c, result, err)
}

// writeResult sends the result of an apply. The status of a file that was not accepted is
// 409 after a conflict, 503 after an error, and 504 if the outcome is unknown.
func writeResult(c iris.Context, result accept.Result, err error) {
	answer := ApplyReply{Result: result}
	if err != nil {
		answer.Detail = err.Error()
	}
	switch result.State {
	case accept.Accepted, accept.Superseded:
		writeJSON(c, http.StatusOK, answer)
	case accept.Unresolved:
		writeJSON(c, http.StatusGatewayTimeout, answer)
	default:
		status := http.StatusConflict
		if err != nil {
			status = http.StatusServiceUnavailable
		}
		writeJSON(c, status, answer)
	}
}

// diff responds with the services and organisations that the file in the body would change.
func (s *server) diff(c iris.Context) {
	file, ok := s.readFile(c)
	if !ok {
		return
	}
	_, current, err := s.node.Configuration()
	if err != nil {
		writeJSON(c, http.StatusInternalServerError, ApplyReply{Detail: err.Error()})
		return
	}
	writeJSON(c, http.StatusOK, compareFiles(current, file))
}

// compareFiles compares the services and the organisations of two configuration files.
func compareFiles(current, next *config.File) []Difference {
	differences := []Difference{}
	compareTexts(jsonByService(current), jsonByService(next), func(name ident.Service, change string) {
		differences = append(differences, Difference{Service: name, Change: change})
	})
	compareTexts(jsonByOrganisation(current), jsonByOrganisation(next), func(name ident.Organisation, change string) {
		differences = append(differences, Difference{Organisation: name, Change: change})
	})
	return differences
}

// compareTexts calls differ with each name whose text differs, sorted by name: first those
// of after, then those that after lacks.
func compareTexts[K ~string](before, after map[K]string, differ func(name K, change string)) {
	for _, name := range slices.Sorted(maps.Keys(after)) {
		old, existed := before[name]
		switch {
		case !existed:
			differ(name, "added")
		case old != after[name]:
			differ(name, "changed")
		}
	}
	for _, name := range slices.Sorted(maps.Keys(before)) {
		if _, stays := after[name]; !stays {
			differ(name, "removed")
		}
	}
}

// jsonByService returns the services of a file as JSON, for comparison.
func jsonByService(file *config.File) map[ident.Service]string {
	texts := map[ident.Service]string{}
	for i := range file.Services {
		text, err := json.Marshal(file.Services[i])
		if err != nil {
			continue
		}
		texts[file.Services[i].Name] = string(text)
	}
	return texts
}

// jsonByOrganisation returns the organisations of a file as JSON without their keys, for
// comparison.
func jsonByOrganisation(file *config.File) map[ident.Organisation]string {
	texts := map[ident.Organisation]string{}
	for i := range file.Organisations {
		hashed := file.Organisations[i].HashKeys()
		text, err := json.Marshal(hashed)
		if err != nil {
			continue
		}
		texts[hashed.Name] = string(text)
	}
	return texts
}

func (s *server) drain(c iris.Context) {
	s.node.Stop()
	writeJSON(c, http.StatusAccepted, s.node.Ready())
}

// writeJSON sends a response with an indented JSON body.
func writeJSON(c iris.Context, status int, value any) {
	c.StatusCode(status)
	c.ContentType("application/json")
	encoder := json.NewEncoder(c.ResponseWriter())
	encoder.SetIndent("", "  ")
	_ = encoder.Encode(value)
}
