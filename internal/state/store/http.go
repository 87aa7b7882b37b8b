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
)

const (
	// callTimeout limits every call but Watch.
	callTimeout = 3 * time.Second
	// watchSlack is how much longer than its own timeout a Watch call may take.
	watchSlack = 3 * time.Second
	// maxReplyBytes limits a reply, which is a list or a JSON object that holds
	// a value in base64.
	maxReplyBytes = 16 << 20
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
	}
)

// NewHTTP returns a client of the service.
func NewHTTP(config Config) *HTTP {
	if config.Client == nil {
		config.Client = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 4}}
	}
	return &HTTP{config: config}
}

// Era returns zero, as the service's replies name none.
func (h *HTTP) Era() Era {
	return 0
}

// Get reads one key. The error matches ErrNotFound if the key does not exist.
func (h *HTTP) Get(ctx context.Context, key string) (Item, error) {
	var item Item
	err := h.call(ctx, callTimeout, http.MethodGet, keyPath(key, nil), nil, &item)
	return item, errors.Wrapf(err, "get %s", key)
}

// CAS writes a key if its current version is the given one, or creates it if that
// is zero (compare-and-swap). Otherwise the error matches ErrConflict. A key with
// a lease is deleted when the lease ends.
func (h *HTTP) CAS(ctx context.Context, key string, value []byte, version Version, lease Lease) (Item, error) {
	if len(value) > MaxValueBytes {
		return Item{}, errors.Wrapf(ErrTooLarge, "write %s: %d bytes", key, len(value))
	}
	query := url.Values{"version": {formatUint(version)}}
	if lease != 0 {
		query.Set("lease", formatUint(lease))
	}
	var item Item
	err := h.call(ctx, callTimeout, http.MethodPut, keyPath(key, query), value, &item)
	return item, errors.Wrapf(err, "write %s", key)
}

// Delete removes a key if its current version is the given one. Otherwise the
// error matches ErrConflict.
func (h *HTTP) Delete(ctx context.Context, key string, version Version) error {
	query := url.Values{"version": {formatUint(version)}}
	err := h.call(ctx, callTimeout, http.MethodDelete, keyPath(key, query), nil, nil)
	return errors.Wrapf(err, "delete %s", key)
}

// List returns the keys with a prefix and their versions, without values.
func (h *HTTP) List(ctx context.Context, prefix string) ([]Item, error) {
	var items []Item
	path := "/v1/list?" + url.Values{"prefix": {prefix}}.Encode()
	err := h.call(ctx, callTimeout, http.MethodGet, path, nil, &items)
	return items, errors.Wrapf(err, "list %s", prefix)
}

// Watch blocks until the key has a version higher than options.After and returns it.
// After the timeout it returns the current Item, or an error that matches
// ErrNotFound if the key does not exist.
func (h *HTTP) Watch(ctx context.Context, key string, options WatchOptions) (Item, error) {
	query := url.Values{"after": {formatUint(options.After)}, "wait": {options.Timeout.String()}}
	var item Item
	err := h.call(ctx, options.Timeout+watchSlack, http.MethodGet, keyPath(key, query), nil, &item)
	return item, errors.Wrapf(err, "watch %s", key)
}

// Grant creates a lease that ends after ttl without a KeepAlive.
func (h *HTTP) Grant(ctx context.Context, ttl time.Duration) (Lease, error) {
	var lease Lease
	path := "/v1/leases?" + url.Values{"ttl": {ttl.String()}}.Encode()
	err := h.call(ctx, callTimeout, http.MethodPost, path, nil, &lease)
	return lease, errors.Wrap(err, "grant lease")
}

// KeepAlive renews a lease for its TTL. The error matches ErrLeaseLost if it has
// ended.
func (h *HTTP) KeepAlive(ctx context.Context, lease Lease) error {
	err := h.call(ctx, callTimeout, http.MethodPut, "/v1/leases/"+formatUint(lease), nil, nil)
	return errors.Wrapf(err, "renew lease %d", lease)
}

// Revoke ends a lease, which deletes its keys.
func (h *HTTP) Revoke(ctx context.Context, lease Lease) error {
	err := h.call(ctx, callTimeout, http.MethodDelete, "/v1/leases/"+formatUint(lease), nil, nil)
	return errors.Wrapf(err, "revoke lease %d", lease)
}

// call sends one request and decodes the JSON body of its reply into reply, unless
// that is nil. Unless the request is invalid, its errors match one of the
// errors of this package.
func (h *HTTP) call(ctx context.Context, timeout time.Duration, method, path string, body []byte, reply any) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, h.config.URL+path, bytes.NewReader(body))
	if err != nil {
		return errors.Wrapf(err, "store: build request %s %s", method, path)
	}
	if h.config.Token != "" {
		request.Header.Set("Authorization", "Bearer "+h.config.Token)
	}
	response, err := h.config.Client.Do(request)
	if err != nil {
		return errors.Wrapf(errors.Mark(err, ErrUnavailable), "store: send request %s %s", method, path)
	}
	defer response.Body.Close()
	text, err := io.ReadAll(io.LimitReader(response.Body, maxReplyBytes))
	if err != nil {
		return errors.Wrap(errors.Mark(err, ErrUnavailable), "store: read reply")
	}
	if err := statusError(response.StatusCode); err != nil {
		return err
	}
	if reply == nil {
		return nil
	}
	err = json.Unmarshal(text, reply)
	return errors.Wrap(errors.Mark(err, ErrUnavailable), "store: decode reply")
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

func formatUint[T ~uint64](n T) string {
	return strconv.FormatUint(uint64(n), 10)
}

// String identifies the client in logs, without its token.
func (h *HTTP) String() string {
	return fmt.Sprintf("store at %s", h.config.URL)
}
