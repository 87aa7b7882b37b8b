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
	callTimeout = 3 * time.Second
	// watchSlack is how much longer than its wait a watch may take.
	watchSlack = 3 * time.Second
	// replyBytes bounds a reply: a value in base64 with its frame, or a list.
	replyBytes = 16 << 20
)

type (
	// Config makes an HTTP adapter.
	Config struct {
		// URL is the service's base, such as http://10.0.0.5:7400.
		URL   string
		Token string
		// Client is http.DefaultClient's kin; nil makes one.
		Client *http.Client
	}

	// HTTP is the adapter for the service's HTTP interface.
	HTTP struct {
		config Config
	}
)

// NewHTTP returns an adapter.
func NewHTTP(config Config) *HTTP {
	if config.Client == nil {
		config.Client = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 4}}
	}
	return &HTTP{config: config}
}

// Get reads one key.
func (h *HTTP) Get(ctx context.Context, key string) (Item, error) {
	var item Item
	err := h.call(ctx, callTimeout, http.MethodGet, keyPath(key, nil), nil, &item)
	return item, errors.Wrapf(err, "get %s", key)
}

// CAS writes a key that stands at a version, or creates it where that is zero.
func (h *HTTP) CAS(ctx context.Context, key string, value []byte, version Version, lease Lease) (Item, error) {
	if len(value) > MaxValueBytes {
		return Item{}, errors.Wrapf(ErrTooLarge, "write %s: %d bytes", key, len(value))
	}
	query := url.Values{"version": {number(version)}}
	if lease != 0 {
		query.Set("lease", number(lease))
	}
	var item Item
	err := h.call(ctx, callTimeout, http.MethodPut, keyPath(key, query), value, &item)
	return item, errors.Wrapf(err, "write %s", key)
}

// Delete removes a key that stands at a version.
func (h *HTTP) Delete(ctx context.Context, key string, version Version) error {
	query := url.Values{"version": {number(version)}}
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

// Watch waits for a version of the key after the known one. Where none comes in
// time it returns the Item as it stands, or ErrNotFound.
func (h *HTTP) Watch(ctx context.Context, key string, wait Wait) (Item, error) {
	query := url.Values{"after": {number(wait.After)}, "wait": {wait.For.String()}}
	var item Item
	err := h.call(ctx, wait.For+watchSlack, http.MethodGet, keyPath(key, query), nil, &item)
	return item, errors.Wrapf(err, "watch %s", key)
}

// Grant makes a lease.
func (h *HTTP) Grant(ctx context.Context, ttl time.Duration) (Lease, error) {
	var lease Lease
	path := "/v1/leases?" + url.Values{"ttl": {ttl.String()}}.Encode()
	err := h.call(ctx, callTimeout, http.MethodPost, path, nil, &lease)
	return lease, errors.Wrap(err, "grant lease")
}

// KeepAlive renews a lease.
func (h *HTTP) KeepAlive(ctx context.Context, lease Lease) error {
	err := h.call(ctx, callTimeout, http.MethodPut, "/v1/leases/"+number(lease), nil, nil)
	return errors.Wrapf(err, "renew lease %d", lease)
}

// Revoke ends a lease and deletes its keys.
func (h *HTTP) Revoke(ctx context.Context, lease Lease) error {
	err := h.call(ctx, callTimeout, http.MethodDelete, "/v1/leases/"+number(lease), nil, nil)
	return errors.Wrapf(err, "revoke lease %d", lease)
}

func (h *HTTP) call(ctx context.Context, limit time.Duration, method, path string, body []byte, reply any) error {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, h.config.URL+path, bytes.NewReader(body))
	if err != nil {
		return errors.Wrap(err, "store: request")
	}
	if h.config.Token != "" {
		request.Header.Set("Authorization", "Bearer "+h.config.Token)
	}
	response, err := h.config.Client.Do(request)
	if err != nil {
		return errors.Wrap(errors.Mark(err, ErrUnavailable), "store: call")
	}
	defer response.Body.Close()
	text, err := io.ReadAll(io.LimitReader(response.Body, replyBytes))
	if err != nil {
		return errors.Wrap(errors.Mark(err, ErrUnavailable), "store: reply")
	}
	if err := statusError(response.StatusCode); err != nil {
		return err
	}
	if reply == nil {
		return nil
	}
	err = json.Unmarshal(text, reply)
	return errors.Wrap(errors.Mark(err, ErrUnavailable), "store: reply")
}

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
		return errors.Wrapf(ErrUnavailable, "store: status %d", status)
	}
}

func keyPath(key string, query url.Values) string {
	path := "/v1/keys/" + url.PathEscape(key)
	if len(query) == 0 {
		return path
	}
	return path + "?" + query.Encode()
}

func number[T ~uint64](n T) string {
	return strconv.FormatUint(uint64(n), 10)
}

// String names the adapter in logs, without its token.
func (h *HTTP) String() string {
	return fmt.Sprintf("store at %s", h.config.URL)
}
