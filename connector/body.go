package connector

import (
	"io"
	"net/http"

	"github.com/pkg/errors"
)

// ReadBody reads the whole body of an answer and closes it. It fails with ErrTooLarge if
// the body is longer than a limit in bytes.
func ReadBody(r *http.Response, limit int64) ([]byte, error) {
	defer r.Body.Close()
	data, err := io.ReadAll(io.LimitReader(r.Body, limit+1))
	if err == nil && int64(len(data)) > limit {
		err = errors.Wrapf(ErrTooLarge, "more than %d bytes", limit)
	}
	if err != nil {
		return nil, err
	}
	return data, nil
}
