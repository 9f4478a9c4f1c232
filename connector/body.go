package connector

import (
	"io"
	"net/http"
	"slices"
	"sync/atomic"

	"github.com/pkg/errors"
)

const (
	// budgetStep is the step in which bytes are taken from a budget.
	budgetStep = 64 << 10
	// firstBlock is the size of the first block of a body without a length.
	firstBlock = 4 << 10
)

// Budget bounds the bytes of messages that are read at once. It is safe for concurrent use.
type Budget struct {
	limit int64
	used  atomic.Int64
}

// NewBudget returns a budget of a number of bytes, but at least of one step.
func NewBudget(limit int64) *Budget { return &Budget{limit: max(limit, budgetStep)} }

// Reader reads a message whose bytes count against a budget until it is released. It fails
// with ErrTooLarge if the message is too long, or other messages use up the budget.
type Reader struct {
	reader io.Reader
	budget *Budget
	left   int64 // That may still be read.
	taken  int64 // From the budget.
	unused int64 // Of that.
}

// Reader returns a reader of a message of a length in bytes at most.
func (b *Budget) Reader(r io.Reader, limit int64) *Reader {
	return &Reader{reader: r, budget: b, left: limit}
}

// Read implements io.Reader.
func (r *Reader) Read(p []byte) (int, error) {
	if r.unused == 0 {
		if err := r.budget.Take(budgetStep); err != nil {
			return 0, err
		}
		r.taken, r.unused = r.taken+budgetStep, budgetStep
	}
	n, err := r.reader.Read(p[:min(int64(len(p)), r.unused, r.left+1)])
	r.unused -= int64(n)
	if r.left -= int64(n); r.left < 0 {
		return n, errors.Wrap(ErrTooLarge, "message is over its limit")
	}
	return n, err
}

// Take takes bytes from the budget until they are returned, or fails with ErrTooLarge.
func (b *Budget) Take(n int64) error {
	if b.used.Add(n) > b.limit {
		b.used.Add(-n)
		return errors.Wrap(ErrTooLarge, "messages fill their memory")
	}
	return nil
}

// Return returns bytes that were taken.
func (b *Budget) Return(n int64) { b.used.Add(-n) }

// Release returns the bytes to the budget. The message must not be kept any longer.
func (r *Reader) Release() {
	r.budget.Return(r.taken)
	r.taken, r.unused = 0, 0
}

// ReadBody reads the whole body of an answer and closes it. It fails with ErrTooLarge if
// the body is longer than a limit in bytes, or other messages use up the budget.
func (b *Budget) ReadBody(r *http.Response, limit int64) ([]byte, error) {
	defer r.Body.Close()
	reader := b.Reader(r.Body, limit)
	defer reader.Release()
	var blocks [][]byte
	size := int64(firstBlock)
	if r.ContentLength >= 0 {
		size = min(r.ContentLength+1, budgetStep) // The end is read with room left in the block.
	}
	for {
		// A block holds no more than a step that was taken from the budget.
		block := make([]byte, size)
		n, err := fill(reader, block)
		blocks, size = append(blocks, block[:n]), budgetStep
		if err == io.EOF {
			return slices.Concat(blocks...), nil
		}
		if err != nil {
			return nil, err
		}
	}
}

// fill reads until a block is full or a read fails.
func fill(r io.Reader, block []byte) (n int, err error) {
	for n < len(block) && err == nil {
		var read int
		read, err = r.Read(block[n:])
		n += read
	}
	return n, err
}

// ReadBody reads the whole body of an answer of at most a limit in bytes and closes it.
func ReadBody(r *http.Response, limit int64) ([]byte, error) {
	return NewBudget(limit+budgetStep).ReadBody(r, limit)
}
