package storer

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// Bounds of a call on the platform.
const (
	callTimeout  = 2 * time.Second
	watchTimeout = 25 * time.Second
	// watchSilence bounds a watch that says nothing: past it the connection counts as dead.
	watchSilence = watchTimeout + 5*time.Second
)

// VersionHeader carries an object's version in answers and the expected one in requests.
const VersionHeader = "Object-Version"

// Client speaks to the platform over HTTP. It never resends a call by itself.
type Client struct {
	base string
	http *http.Client
}

var _ Platform = (*Client)(nil)

// NewClient returns a client of the platform at a base URL.
func NewClient(base string) *Client {
	transport := &http.Transport{MaxIdleConnsPerHost: 16, IdleConnTimeout: 30 * time.Second}
	return &Client{base: strings.TrimSuffix(base, "/"), http: &http.Client{Transport: transport}}
}

// Close drops idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

type call struct {
	method  string
	path    string
	query   url.Values
	body    []byte
	version Version
	timeout time.Duration
	// changes tells that a lost answer may hide a change.
	changes bool
}

type reply struct {
	body    []byte
	version Version
}

// do runs one call and turns transport and status errors into this layer's errors.
func (c *Client) do(ctx context.Context, cl call) (reply, error) {
	if cl.timeout == 0 {
		cl.timeout = callTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, cl.timeout)
	defer cancel()
	request, err := c.request(ctx, cl)
	if err != nil {
		return reply{}, err
	}
	response, err := c.http.Do(request)
	if err != nil {
		return reply{}, lost(cl, err)
	}
	defer response.Body.Close()
	body, err := io.ReadAll(io.LimitReader(response.Body, 64<<20))
	if err != nil {
		return reply{}, lost(cl, err)
	}
	if err := statusError(response.StatusCode, body); err != nil {
		return reply{}, err
	}
	version, _ := strconv.ParseInt(response.Header.Get(VersionHeader), 10, 64)
	return reply{body: body, version: Version(version)}, nil
}

func (c *Client) request(ctx context.Context, cl call) (*http.Request, error) {
	target := c.base + cl.path
	if len(cl.query) > 0 {
		target += "?" + cl.query.Encode()
	}
	var body io.Reader
	if cl.body != nil {
		// Hiding the concrete type keeps net/http from setting GetBody and resending.
		body = io.NopCloser(bytes.NewReader(cl.body))
	}
	request, err := http.NewRequestWithContext(ctx, cl.method, target, body)
	if err != nil {
		return nil, errors.Wrap(err, "build platform call")
	}
	request.ContentLength = int64(len(cl.body))
	request.Header.Set(VersionHeader, strconv.FormatInt(int64(cl.version), 10))
	return request, nil
}

func lost(cl call, err error) error {
	if cl.changes {
		return errors.Wrap(ErrUncertain, err.Error())
	}
	return errors.Wrap(ErrUnavailable, err.Error())
}

func statusError(status int, body []byte) error {
	detail := strings.TrimSpace(string(body))
	switch {
	case status < 300:
		return nil
	case status == http.StatusNotFound:
		return ErrNotFound
	case status == http.StatusConflict:
		return errors.Wrap(ErrConflict, detail)
	case status == http.StatusPreconditionFailed:
		return errors.Wrap(ErrStaleToken, detail)
	case status == http.StatusRequestEntityTooLarge:
		return ErrTooLarge
	case status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests:
		return errors.Wrap(ErrUnavailable, detail)
	case status >= 500:
		return errors.Wrapf(ErrUncertain, "status %d: %s", status, detail)
	default:
		return errors.Errorf("platform refused the call: status %d: %s", status, detail)
	}
}

func objectPath(name string) string { return "/objects/" + name }

// Get implements Objects.
func (c *Client) Get(ctx context.Context, name string) (Object, error) {
	r, err := c.do(ctx, call{method: http.MethodGet, path: objectPath(name)})
	if err != nil {
		return Object{}, err
	}
	return Object{Name: name, Version: r.version, Value: r.body}, nil
}

// Put implements Objects.
func (c *Client) Put(ctx context.Context, name string, value []byte, expected Version) (Version, error) {
	if len(value) > MaxValueBytes {
		return 0, ErrTooLarge
	}
	r, err := c.do(ctx, call{method: http.MethodPut, path: objectPath(name), body: value, version: expected, changes: true})
	return r.version, err
}

// Delete implements Objects.
func (c *Client) Delete(ctx context.Context, name string, expected Version) error {
	_, err := c.do(ctx, call{method: http.MethodDelete, path: objectPath(name), version: expected, changes: true})
	return err
}

// List implements Objects.
func (c *Client) List(ctx context.Context, prefix string) ([]Object, error) {
	r, err := c.do(ctx, call{method: http.MethodGet, path: "/list", query: url.Values{"prefix": {prefix}}})
	if err != nil {
		return nil, err
	}
	return decodeList[Object](r.body)
}

// Watch implements Objects.
func (c *Client) Watch(ctx context.Context, prefix string, after Version) ([]Object, Version, error) {
	query := url.Values{
		"prefix":  {prefix},
		"after":   {strconv.FormatInt(int64(after), 10)},
		"timeout": {strconv.FormatInt(watchTimeout.Milliseconds(), 10)},
	}
	r, err := c.do(ctx, call{method: http.MethodGet, path: "/watch", query: query, timeout: watchSilence})
	if err != nil {
		return nil, after, err
	}
	changes, err := decodeList[Object](r.body)
	return changes, max(after, r.version), err
}

// Order implements Targets.
func (c *Client) Order(ctx context.Context, order TargetOrder) error {
	return c.post(ctx, "/orders", order)
}

// Ordered implements Targets.
func (c *Client) Ordered(ctx context.Context, dataCentre string) ([]OrderedTarget, error) {
	r, err := c.do(ctx, call{method: http.MethodGet, path: "/orders", query: url.Values{"data-centre": {dataCentre}}})
	if err != nil {
		return nil, err
	}
	return decodeList[OrderedTarget](r.body)
}

// Report implements Usage.
func (c *Client) Report(ctx context.Context, report UsageReport) error {
	return c.post(ctx, "/usage", report)
}

// Register implements Instances.
func (c *Client) Register(ctx context.Context, instance ListedInstance) error {
	return c.post(ctx, "/instances", instance)
}

// Instances implements Instances.
func (c *Client) Instances(ctx context.Context) ([]ListedInstance, error) {
	r, err := c.do(ctx, call{method: http.MethodGet, path: "/instances"})
	if err != nil {
		return nil, err
	}
	return decodeList[ListedInstance](r.body)
}

func (c *Client) post(ctx context.Context, path string, v any) error {
	body, err := json.Marshal(v)
	if err != nil {
		return errors.Wrap(err, "encode platform call")
	}
	_, err = c.do(ctx, call{method: http.MethodPost, path: path, body: body, changes: true})
	return err
}

func decodeList[T any](body []byte) ([]T, error) {
	var items []T
	if err := json.Unmarshal(body, &items); err != nil {
		return nil, errors.Wrap(err, "decode platform answer")
	}
	return items, nil
}
