package messenger

import (
	"bufio"
	"encoding/binary"
	"encoding/json"
	"io"

	"github.com/pkg/errors"
	"github.com/sourcegraph/jsonrpc2"

	"github.com/gypsumwharf/gypsumwharf/connector"
)

// boundedCodec is jsonrpc2.VarintObjectCodec with a bound on the length of a message. A
// message that is longer, or for which there is no memory, ends its connection.
type boundedCodec struct {
	jsonrpc2.VarintObjectCodec
	maxBytes int64
	budget   *connector.Budget
}

// ReadObject implements jsonrpc2.ObjectCodec.
func (c boundedCodec) ReadObject(stream *bufio.Reader, v any) error {
	length, err := binary.ReadUvarint(stream)
	if err != nil {
		return err
	}
	if length > uint64(c.maxBytes) {
		return errors.Wrapf(connector.ErrTooLarge, "message of %d bytes", length)
	}
	message := c.budget.Reader(io.LimitReader(stream, int64(length)), c.maxBytes)
	defer message.Release()
	return json.NewDecoder(message).Decode(v)
}
