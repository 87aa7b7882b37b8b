package store

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/figwick/figwick/internal/base/heads"
)

const (
	// callTimeout limits every call but Watch.
	callTimeout = 3 * time.Second
	// watchSlack is how much longer than its own timeout a Watch call may take.
	watchSlack = 3 * time.Second
	// maxReplyBytes limits a reply, which is a list or a JSON object that holds
	// a value in base64.
	maxReplyBytes = 16 << 20
	// EraHeader is the header of all replies that holds the service's Era.
	EraHeader = "Key-Value-Era"
)

type (
	// Config configures an HTTP client of the service.
	Config struct {
		// URL is the service's base URL without a trailing slash, such as
		// http://10.0.0.5:7400.
		URL string
		// Token is the bearer token; an empty one is not sent.
		Token string
		// Client sends the requests; nil creates one.
		Client *http.Client
	}

	// HTTP is a client of the service's HTTP interface. It is safe for concurrent
	// use.
	HTTP struct {
		config Config
		eras   EraTracker
	}

	// WireItem is the JSON form of an Item in replies. The Era is in the EraHeader.
	WireItem struct {
		Key     string `json:"key"`
		Value   []byte `json:"value"`
		Version uint64 `json:"version"`
	}
)

// NewHTTP returns a client of the service.
func NewHTTP(config Config) *HTTP {
	if config.Client == nil {
		config.Client = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 4}}
	}
	return &HTTP{config: config}
}

// Era returns the latest era that a reply named.
func (h *HTTP) Era() Era {
	return h.eras.Era()
}

// Get reads one key. The error matches ErrNotFound if the key does not exist.
func (h *HTTP) Get(ctx context.Context, key string) (Item, error) {
	item, err := h.callForItem(ctx, callTimeout, http.MethodGet, keyPath(key, nil), nil)
	return item, errors.Wrapf(err, "get %s", key)
}

// CAS writes a key if its current version is the given one, or creates it if that
// is zero (compare-and-swap). Otherwise the error matches ErrConflict. A key with
// a lease is deleted when the lease ends.
func (h *HTTP) CAS(ctx context.Context, key string, value []byte, version Version, lease Lease) (Item, error) {
	if len(value) > MaxValueBytes {
		return Item{}, errors.Wrapf(ErrTooLarge, "write %s: %d bytes", key, len(value))
	}
	if err := h.eras.CheckWrite(version, lease); err != nil {
		return Item{}, errors.Wrapf(err, "write %s", key)
	}
	query := url.Values{"version": {formatUint(version.Number)}}
	if !lease.IsZero() {
		query.Set("lease", formatUint(lease.ID))
	}
	item, err := h.callForItem(ctx, callTimeout, http.MethodPut, keyPath(key, query), value)
	if err == nil {
		err = CheckWritten(version, lease, item.Version.Era)
	}
	return item, errors.Wrapf(err, "write %s", key)
}

// Delete removes a key if its current version is the given one. Otherwise the
// error matches ErrConflict.
func (h *HTTP) Delete(ctx context.Context, key string, version Version) error {
	if err := h.eras.CheckWrite(version, Lease{}); err != nil {
		return errors.Wrapf(err, "delete %s", key)
	}
	query := url.Values{"version": {formatUint(version.Number)}}
	era, err := h.call(ctx, callTimeout, http.MethodDelete, keyPath(key, query), nil, nil)
	if err == nil {
		err = CheckWritten(version, Lease{}, era)
	}
	return errors.Wrapf(err, "delete %s", key)
}

// List returns the keys with a prefix and their versions, without values.
func (h *HTTP) List(ctx context.Context, prefix string) ([]Item, error) {
	var found []WireItem
	path := "/v1/list?" + url.Values{"prefix": {prefix}}.Encode()
	era, err := h.call(ctx, callTimeout, http.MethodGet, path, nil, &found)
	items := make([]Item, len(found))
	for i := range found {
		items[i] = found[i].item(era)
	}
	return items, errors.Wrapf(err, "list %s", prefix)
}

// Watch blocks until the key has a later version than options.After and returns it.
// A version of an earlier era than the service's is no reason to wait. After the timeout
// it returns the current Item, or an error that matches ErrNotFound if the key does not
// exist.
func (h *HTTP) Watch(ctx context.Context, key string, options WatchOptions) (Item, error) {
	after := options.After
	if after.Era != h.eras.Era() {
		after = Version{}
	}
	query := url.Values{"after": {formatUint(after.Number)}, "wait": {options.Timeout.String()}}
	item, err := h.callForItem(ctx, options.Timeout+watchSlack, http.MethodGet, keyPath(key, query), nil)
	return item, errors.Wrapf(err, "watch %s", key)
}

// Grant creates a lease that ends after ttl without a KeepAlive.
func (h *HTTP) Grant(ctx context.Context, ttl time.Duration) (Lease, error) {
	var id uint64
	path := "/v1/leases?" + url.Values{"ttl": {ttl.String()}}.Encode()
	era, err := h.call(ctx, callTimeout, http.MethodPost, path, nil, &id)
	return Lease{Era: era, ID: id}, errors.Wrap(err, "grant lease")
}

// KeepAlive renews a lease for its TTL. The error matches ErrLeaseLost if it has
// ended, or if the service has been restored since the lease was granted.
func (h *HTTP) KeepAlive(ctx context.Context, lease Lease) error {
	era, err := h.call(ctx, callTimeout, http.MethodPut, "/v1/leases/"+formatUint(lease.ID), nil, nil)
	if err == nil && era != lease.Era {
		err = ErrLeaseLost
	}
	return errors.Wrapf(err, "renew lease %d", lease.ID)
}

// Revoke ends a lease, which deletes its keys.
func (h *HTTP) Revoke(ctx context.Context, lease Lease) error {
	if err := h.eras.CheckWrite(Version{}, lease); err != nil {
		return errors.Wrapf(err, "revoke lease %d", lease.ID)
	}
	_, err := h.call(ctx, callTimeout, http.MethodDelete, "/v1/leases/"+formatUint(lease.ID), nil, nil)
	return errors.Wrapf(err, "revoke lease %d", lease.ID)
}

// callForItem sends one request whose reply is an Item.
func (h *HTTP) callForItem(ctx context.Context, timeout time.Duration, method, path string, body []byte) (Item, error) {
	var found WireItem
	era, err := h.call(ctx, timeout, method, path, body, &found)
	if err != nil {
		return Item{}, err
	}
	return found.item(era), nil
}

// call sends one request and decodes the JSON body of its reply into reply, unless
// that is nil, and returns the reply's era. Unless the request is invalid, its errors
// match one of the errors of this package.
func (h *HTTP) call(ctx context.Context, timeout time.Duration, method, path string, body []byte, reply any) (Era, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, h.config.URL+path, bytes.NewReader(body))
	if err != nil {
		return 0, errors.Wrapf(err, "store: build request %s %s", method, path)
	}
	if h.config.Token != "" {
		request.Header.Set("Authorization", "Bearer "+h.config.Token)
	}
	response, err := h.config.Client.Do(request)
	if err != nil {
		return 0, errors.Wrapf(errors.Mark(err, ErrUnavailable), "store: send request %s %s", method, path)
	}
	defer response.Body.Close()
	if err := heads.Check(response); err != nil {
		return 0, errors.Wrapf(errors.Mark(err, ErrUnavailable), "store: send request %s %s", method, path)
	}
	era, err := ParseEra(response.Header.Get(EraHeader))
	if err != nil {
		return 0, errors.Mark(err, ErrUnavailable)
	}
	h.eras.Observe(era)
	text, err := io.ReadAll(io.LimitReader(response.Body, maxReplyBytes))
	if err != nil {
		return era, errors.Wrap(errors.Mark(err, ErrUnavailable), "store: read reply")
	}
	if err := statusError(response.StatusCode); err != nil {
		return era, err
	}
	if reply == nil {
		return era, nil
	}
	err = json.Unmarshal(text, reply)
	return era, errors.Wrap(errors.Mark(err, ErrUnavailable), "store: decode reply")
}

// statusError returns the error for an HTTP status, or nil for success.
func statusError(status int) error {
	switch status {
	case http.StatusOK, http.StatusNoContent:
		return nil
	case http.StatusNotFound:
		return ErrNotFound
	case http.StatusConflict:
		return ErrConflict
	case http.StatusGone:
		return ErrLeaseLost
	case http.StatusRequestEntityTooLarge:
		return ErrTooLarge
	default:
		return errors.Wrapf(ErrUnavailable, "store: unexpected HTTP status %d", status)
	}
}

// keyPath returns the URL path of a key, with an optional query.
func keyPath(key string, query url.Values) string {
	path := "/v1/keys/" + url.PathEscape(key)
	if len(query) == 0 {
		return path
	}
	return path + "?" + query.Encode()
}

// item returns the Item of a reply.
func (w *WireItem) item(era Era) Item {
	return Item{Key: w.Key, Value: w.Value, Version: Version{Era: era, Number: w.Version}}
}

func formatUint(n uint64) string {
	return strconv.FormatUint(n, 10)
}

// String identifies the client in logs, without its token.
func (h *HTTP) String() string {
	return fmt.Sprintf("store at %s", h.config.URL)
}
