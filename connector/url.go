package connector

import (
	"net/url"
	"strings"

	"github.com/pkg/errors"
)

// ErrUnsendable means that a path can't be sent as it is.
var ErrUnsendable = errors.New("path has characters that a URL can't have")

// RequestURL returns a URL whose request line has the path and query of uri byte for byte. It
// returns ErrUnsendable if net/http would change them.
func RequestURL(scheme, host, uri string) (*url.URL, error) {
	u := &url.URL{Scheme: scheme, Host: host}
	if !strings.HasPrefix(uri, "//") {
		u.Opaque = uri
		return u, nil
	}
	// An opaque part that begins so would be sent in absolute form.
	path, query, hasQuery := strings.Cut(uri, "?")
	decoded, err := url.PathUnescape(path)
	if err != nil {
		return nil, errors.Wrapf(ErrUnsendable, "%q", path)
	}
	u.Path, u.RawPath, u.RawQuery, u.ForceQuery = decoded, path, query, hasQuery && query == ""
	if u.RequestURI() != uri {
		return nil, errors.Wrapf(ErrUnsendable, "%q", path)
	}
	return u, nil
}
