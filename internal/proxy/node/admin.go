package node

import (
	"context"
	"crypto/subtle"
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/goccy/go-yaml"
	"github.com/kataras/iris/v12"

	"github.com/figwick/figwick/internal/base/events"
	"github.com/figwick/figwick/internal/base/ident"
	"github.com/figwick/figwick/internal/state/accept"
	"github.com/figwick/figwick/internal/state/config"
)

const (
	// applyTimeout bounds an apply, however long the store is away.
	applyTimeout = 20 * time.Second
	statusLimit  = 10 * time.Second
)

type (
	// Applied answers an apply.
	Applied struct {
		accept.Result
		Faults config.Faults `json:"faults,omitempty"`
		Detail string        `json:"detail,omitempty"`
	}

	// Difference is one line of a diff.
	Difference struct {
		Service ident.Service `json:"service"`
		Change  string        `json:"change"`
	}
)

// adminHandler serves the operators' API.
func (n *Node) adminHandler() http.Handler {
	app := iris.New()
	app.Configure(iris.WithoutStartupLog, iris.WithoutBanner, iris.WithoutInterruptHandler,
		iris.WithoutBodyConsumptionOnUnmarshal)
	app.Logger().SetLevel("disable")
	app.UseRouter(n.authorize)
	v1 := app.Party("/v1")
	v1.Get("/ready", n.adminReady)
	v1.Get("/status", n.adminStatus)
	v1.Get("/dump", func(c iris.Context) { answerJSON(c, http.StatusOK, n.Dump()) })
	v1.Get("/config", n.adminGet)
	v1.Post("/config", n.adminApply)
	v1.Post("/config/check", n.adminCheck)
	v1.Post("/config/diff", n.adminDiff)
	v1.Post("/drain", n.adminDrain)
	if n.config.Metrics != nil {
		v1.Get("/metrics", iris.FromStd(n.config.Metrics))
	}
	if err := app.Build(); err != nil {
		return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			http.Error(w, err.Error(), http.StatusInternalServerError)
		})
	}
	return app
}

// ReadOnlyAdmin serves what operators may see, and changes nothing.
func (n *Node) ReadOnlyAdmin() http.Handler {
	mux := http.NewServeMux()
	show := func(path string, value func(ctx context.Context) any) {
		mux.HandleFunc("GET "+path, func(w http.ResponseWriter, r *http.Request) {
			ctx, done := context.WithTimeout(r.Context(), statusLimit)
			defer done()
			reply(w, http.StatusOK, value(ctx))
		})
	}
	show("/v1/ready", func(context.Context) any { return n.Ready() })
	show("/v1/status", func(ctx context.Context) any { return n.Status(ctx) })
	show("/v1/dump", func(context.Context) any { return n.Dump() })
	if n.config.Metrics != nil {
		mux.Handle("GET /v1/metrics", n.config.Metrics)
	}
	return mux
}

// authorize lets only those in who bear the token, where there is one.
func (n *Node) authorize(c iris.Context) {
	token := n.config.AdminToken
	given, bears := strings.CutPrefix(c.GetHeader("Authorization"), "Bearer ")
	if token == "" || bears && subtle.ConstantTimeCompare([]byte(given), []byte(token)) == 1 {
		c.Next()
		return
	}
	answerJSON(c, http.StatusUnauthorized, Applied{Detail: "a bearer token is needed"})
}

func (n *Node) adminReady(c iris.Context) {
	r := n.Ready()
	status := http.StatusOK
	if !r.Ready {
		status = http.StatusServiceUnavailable
	}
	answerJSON(c, status, r)
}

func (n *Node) adminStatus(c iris.Context) {
	ctx, done := context.WithTimeout(c.Request().Context(), statusLimit)
	defer done()
	answerJSON(c, http.StatusOK, n.Status(ctx))
}

// adminGet returns the file in force, as YAML unless JSON is asked for.
func (n *Node) adminGet(c iris.Context) {
	current := n.configs.current()
	if current.Revision() == 0 {
		answerJSON(c, http.StatusNotFound, Applied{Detail: "no configuration is in force"})
		return
	}
	file, err := current.File()
	if err != nil {
		answerJSON(c, http.StatusInternalServerError, Applied{Detail: err.Error()})
		return
	}
	c.Header("Figwick-Revision", strconv.FormatUint(uint64(current.Revision()), 10))
	if c.URLParam("format") == "json" {
		answerJSON(c, http.StatusOK, file)
		return
	}
	text, err := yaml.Marshal(file)
	if err != nil {
		answerJSON(c, http.StatusInternalServerError, Applied{Detail: err.Error()})
		return
	}
	c.ContentType("application/yaml")
	_, _ = c.Write(text)
}

func (n *Node) adminCheck(c iris.Context) {
	if _, ok := n.readFile(c); ok {
		answerJSON(c, http.StatusOK, Applied{Detail: "the file is valid"})
	}
}

// readFile parses the body, or answers with its faults.
func (n *Node) readFile(c iris.Context) (*config.File, bool) {
	c.SetMaxRequestBodySize(config.MaxFileBytes)
	text, err := c.GetBody()
	if err != nil {
		answerJSON(c, http.StatusRequestEntityTooLarge, Applied{Detail: err.Error()})
		return nil, false
	}
	file, err := config.Parse(text)
	var faults config.Faults
	if errors.As(err, &faults) {
		answerJSON(c, http.StatusUnprocessableEntity, Applied{Faults: faults, Detail: "the file is invalid; nothing has changed"})
		return nil, false
	}
	if err != nil {
		answerJSON(c, http.StatusUnprocessableEntity, Applied{Detail: err.Error()})
		return nil, false
	}
	return file, true
}

func (n *Node) adminApply(c iris.Context) {
	file, ok := n.readFile(c)
	if !ok {
		return
	}
	expect, err := strconv.ParseUint(c.URLParamDefault("expect", "0"), 10, 64)
	if err != nil {
		answerJSON(c, http.StatusBadRequest, Applied{Detail: "expect: must be a revision"})
		return
	}
	ctx, done := context.WithTimeout(c.Request().Context(), applyTimeout)
	defer done()
	acceptor := accept.Acceptor{Store: n.configs.store, Clock: n.config.Clock}
	result, err := acceptor.Apply(ctx, accept.Request{
		File:   file,
		Apply:  ident.NewApply(),
		By:     c.URLParamDefault("by", "unnamed"),
		Expect: ident.Revision(expect),
	})
	n.reportApply(c, result, err)
}

func (n *Node) reportApply(c iris.Context, result accept.Result, err error) {
	answer := Applied{Result: result}
	if err != nil {
		answer.Detail = err.Error()
	}
	fields := []any{"state", string(result.State), "revision", uint64(result.Revision), "error", answer.Detail}
	switch result.State {
	case accept.Accepted, accept.Superseded:
		events.Emit(n.log, events.ConfigAccepted, fields...)
		n.configs.pull(result.Revision)
		answerJSON(c, http.StatusOK, answer)
	case accept.Unresolved:
		events.Emit(n.log, events.ConfigRefused, fields...)
		answerJSON(c, http.StatusGatewayTimeout, answer)
	default:
		events.Emit(n.log, events.ConfigRefused, fields...)
		status := http.StatusConflict
		if err != nil {
			status = http.StatusServiceUnavailable
		}
		answerJSON(c, status, answer)
	}
}

// adminDiff tells which services a file would change.
func (n *Node) adminDiff(c iris.Context) {
	file, ok := n.readFile(c)
	if !ok {
		return
	}
	current, err := n.configs.current().File()
	if err != nil {
		answerJSON(c, http.StatusInternalServerError, Applied{Detail: err.Error()})
		return
	}
	answerJSON(c, http.StatusOK, diff(current, file))
}

func diff(current, next *config.File) []Difference {
	before := textByName(current)
	after := textByName(next)
	differences := []Difference{}
	for i := range next.Services {
		name := next.Services[i].Name
		old, existed := before[name]
		switch {
		case !existed:
			differences = append(differences, Difference{Service: name, Change: "added"})
		case old != after[name]:
			differences = append(differences, Difference{Service: name, Change: "changed"})
		}
	}
	for i := range current.Services {
		name := current.Services[i].Name
		if _, stays := after[name]; !stays {
			differences = append(differences, Difference{Service: name, Change: "removed"})
		}
	}
	return differences
}

func textByName(file *config.File) map[ident.Service]string {
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

func (n *Node) adminDrain(c iris.Context) {
	n.Stop()
	answerJSON(c, http.StatusAccepted, n.Ready())
}

func answerJSON(c iris.Context, status int, value any) {
	c.StatusCode(status)
	c.ContentType("application/json")
	encoder := json.NewEncoder(c.ResponseWriter())
	encoder.SetIndent("", "  ")
	_ = encoder.Encode(value)
}
