package meter

import (
	"bytes"
	"compress/gzip"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"io"

	"github.com/pkg/errors"

	"github.com/gypsumwharf/gypsumwharf/storer"
	"github.com/gypsumwharf/gypsumwharf/timekeeper"
)

// partBytes is the maximum size of one part of the compressed figures. A part
// encoded in base64 stays below storer.MaxValueBytes.
const partBytes = 512 << 10

// maxFigureBytes is the maximum size of one window's figures after decompression.
const maxFigureBytes = 256 << 20

// WindowID returns the name of a window in the store and in reports. Names sort by
// time.
func WindowID(start timekeeper.Millis) string { return start.Time().Format("20060102T150405Z") }

func sealedName(dataCentre string, start timekeeper.Millis) string {
	return "usage/" + dataCentre + "/" + WindowID(start)
}

func partName(dataCentre string, start timekeeper.Millis, digest string) string {
	return "usage-parts/" + dataCentre + "/" + WindowID(start) + "/" + digest
}

func cursorName(dataCentre string) string { return "usage-cursor/" + dataCentre }

// Check reports whether the sealed window is well formed.
func (s Sealed) Check() error {
	if s.End <= s.Start || s.DataCentre == "" {
		return errors.Wrapf(ErrMalformed, "sealed window from %d to %d of data centre %q", s.Start, s.End, s.DataCentre)
	}
	return nil
}

// Check reports whether the cursor is well formed.
func (c Cursor) Check() error {
	if c.Confirmed > c.Reporting {
		return errors.Wrapf(ErrMalformed, "usage cursor: confirmed window %d is after reporting window %d", c.Confirmed, c.Reporting)
	}
	return nil
}

// Check reports whether the figures are well formed.
func (f Figures) Check() error {
	return checkBatches([]Batch{{Lines: f.Lines}, {Lines: f.Late}})
}

type checker interface{ Check() error }

func decode[T checker](data []byte) (T, error) {
	var v T
	if err := json.Unmarshal(data, &v); err != nil {
		return v, errors.Wrap(ErrMalformed, err.Error())
	}
	return v, v.Check()
}

func compress(v any) ([]byte, error) {
	var b bytes.Buffer
	w := gzip.NewWriter(&b)
	if err := json.NewEncoder(w).Encode(v); err != nil {
		return nil, errors.Wrap(err, "encode usage figures")
	}
	if err := w.Close(); err != nil {
		return nil, errors.Wrap(err, "encode usage figures")
	}
	return b.Bytes(), nil
}

// writeParts stores figures that exceed partBytes in objects of their own. A part is
// named by its digest, so reporters that compete for a window cannot mix their parts.
func writeParts(ctx context.Context, o storer.Objects, s Sealed, data []byte) (Sealed, error) {
	if len(data) <= partBytes {
		s.Figures = data
		return s, nil
	}
	for len(data) > 0 {
		part := data[:min(len(data), partBytes)]
		data = data[len(part):]
		sum := sha256.Sum256(part)
		digest := hex.EncodeToString(sum[:])
		_, err := o.Put(ctx, partName(s.DataCentre, s.Start, digest), part, 0)
		if err != nil && !errors.Is(err, storer.ErrConflict) {
			return s, errors.Wrap(err, "write part of usage figures")
		}
		s.Parts = append(s.Parts, digest)
	}
	return s, nil
}

// readFigures returns the figures of a sealed window.
func readFigures(ctx context.Context, o storer.Objects, s Sealed) (Figures, error) {
	data := s.Figures
	for _, digest := range s.Parts {
		object, err := o.Get(ctx, partName(s.DataCentre, s.Start, digest))
		if err != nil {
			return Figures{}, errors.Wrap(err, "read part of usage figures")
		}
		data = append(data, object.Value...)
	}
	r, err := gzip.NewReader(bytes.NewReader(data))
	if err != nil {
		return Figures{}, errors.Wrap(ErrMalformed, err.Error())
	}
	plain, err := io.ReadAll(io.LimitReader(r, maxFigureBytes))
	if err != nil {
		return Figures{}, errors.Wrap(ErrMalformed, err.Error())
	}
	return decode[Figures](plain)
}

// seal creates the window's object, or returns the existing one: the first writer
// determines the figures. The bool reports whether this call created it.
func seal(ctx context.Context, o storer.Objects, s Sealed, f Figures) (Sealed, bool, error) {
	data, err := compress(f)
	if err != nil {
		return Sealed{}, false, err
	}
	if s, err = writeParts(ctx, o, s, data); err != nil {
		return Sealed{}, false, err
	}
	value, err := json.Marshal(s)
	if err != nil {
		return Sealed{}, false, errors.Wrap(err, "encode sealed window")
	}
	name := sealedName(s.DataCentre, s.Start)
	_, err = o.Put(ctx, name, value, 0)
	if err == nil {
		return s, true, nil
	}
	if !errors.Is(err, storer.ErrConflict) && !errors.Is(err, storer.ErrOutcomeUnknown) {
		return Sealed{}, false, errors.Wrap(err, "write sealed window")
	}
	stored, version, readErr := storer.Get(ctx, o, name, decode[Sealed])
	if readErr != nil {
		return Sealed{}, false, errors.Wrap(readErr, "read sealed window")
	}
	if version == 0 {
		return Sealed{}, false, errors.Wrap(err, "write sealed window")
	}
	return stored, false, nil
}
