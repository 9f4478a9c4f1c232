package storer

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/gypsumwharf/gypsumwharf/connector"
)

// Timeouts of calls to the platform.
const (
	callTimeout = 2 * time.Second
	// watchTimeout is how long the platform may hold a watch without changes.
	watchTimeout = 25 * time.Second
	// watchCallTimeout bounds a watch whose connection is unresponsive.
	watchCallTimeout = watchTimeout + 5*time.Second
)

const (
	// idleTimeout is how long an idle connection is kept, and maxIdle how many are kept.
	idleTimeout = 30 * time.Second
	maxIdle     = 16
	// maxReplyBytes bounds a response, such as a list of names, and maxRepliesBytes those
	// that are read at once.
	maxReplyBytes   = 16 << 20
	maxRepliesBytes = 32 << 20
)

// VersionHeader carries an object's version in responses and the expected one in requests.
const VersionHeader = "Object-Version"

// Client calls the platform over HTTP. It does not retry calls itself.
type Client struct {
	base    string
	http    *connector.Transport
	replies *connector.Budget
}

var _ Platform = (*Client)(nil)

// NewClient returns a client of the platform at a base URL.
func NewClient(base string) *Client {
	return &Client{base: strings.TrimSuffix(base, "/"), replies: connector.NewBudget(maxRepliesBytes), http: connector.New(connector.Options{
		Dial: new(net.Dialer).DialContext, IdleTimeout: idleTimeout, MaxIdlePerHost: maxIdle,
	})}
}

// Close closes idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

type call struct {
	method  string
	path    string
	query   url.Values
	body    []byte
	version Version
	timeout time.Duration
	// mutates means that the call may have taken effect when its response is lost.
	mutates bool
}

type reply struct {
	body    []byte
	version Version
}

// do makes one call and maps transport and status errors to the errors of this package.
func (c *Client) do(ctx context.Context, cl call) (reply, error) {
	if cl.timeout == 0 {
		cl.timeout = callTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, cl.timeout)
	defer cancel()
	request, err := c.newRequest(ctx, cl)
	if err != nil {
		return reply{}, err
	}
	response, err := c.http.RoundTrip(request)
	if err != nil {
		return reply{}, transportError(cl, err)
	}
	body, err := c.replies.ReadBody(response, maxReplyBytes)
	if err != nil {
		return reply{}, transportError(cl, err)
	}
	if err := statusError(response.StatusCode, body); err != nil {
		return reply{}, err
	}
	version, _ := strconv.ParseInt(response.Header.Get(VersionHeader), 10, 64)
	return reply{body: body, version: Version(version)}, nil
}

func (c *Client) newRequest(ctx context.Context, cl call) (*http.Request, error) {
	address := c.base + cl.path
	if len(cl.query) > 0 {
		address += "?" + cl.query.Encode()
	}
	var body io.Reader
	if cl.body != nil {
		// NopCloser hides the concrete type, so net/http does not set GetBody and cannot retry.
		body = io.NopCloser(bytes.NewReader(cl.body))
	}
	request, err := http.NewRequestWithContext(ctx, cl.method, address, body)
	if err != nil {
		return nil, errors.Wrap(err, "create platform request")
	}
	request.ContentLength = int64(len(cl.body))
	request.Header.Set(VersionHeader, strconv.FormatInt(int64(cl.version), 10))
	return request, nil
}

func transportError(cl call, err error) error {
	if cl.mutates {
		return errors.Wrap(ErrOutcomeUnknown, err.Error())
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
		return errors.Wrapf(ErrOutcomeUnknown, "status %d: %s", status, detail)
	default:
		return errors.Errorf("platform refused the request: status %d: %s", status, detail)
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
	r, err := c.do(ctx, call{method: http.MethodPut, path: objectPath(name), body: value, version: expected, mutates: true})
	return r.version, err
}

// Delete implements Objects.
func (c *Client) Delete(ctx context.Context, name string, expected Version) error {
	_, err := c.do(ctx, call{method: http.MethodDelete, path: objectPath(name), version: expected, mutates: true})
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
	r, err := c.do(ctx, call{method: http.MethodGet, path: "/watch", query: query, timeout: watchCallTimeout})
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

// ListOrdered implements Targets.
func (c *Client) ListOrdered(ctx context.Context, dataCentre string) ([]OrderedTarget, error) {
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
		return errors.Wrap(err, "encode platform request")
	}
	_, err = c.do(ctx, call{method: http.MethodPost, path: path, body: body, mutates: true})
	return err
}

func decodeList[T any](body []byte) ([]T, error) {
	var items []T
	if err := json.Unmarshal(body, &items); err != nil {
		return nil, errors.Wrap(err, "decode platform response")
	}
	return items, nil
}
