package assembler

import (
	"bytes"
	"compress/flate"
	"encoding/json"
	"io"

	"github.com/pkg/errors"

	"github.com/gypsumwharf/gypsumwharf/gossiper"
	"github.com/gypsumwharf/gypsumwharf/recorder"
)

// maxRecordBytes bounds a record after decompression, so that a small message
// cannot fill the memory.
const maxRecordBytes = 64 << 10

// checked is a pointer to a wire value that checks itself.
type checked[T any] interface {
	*T
	Check() error
}

// publish spreads a value as this instance's record of a kind. Records are
// compressed, because names of workspaces and targets repeat.
func (m *membership) publish(kind string, v any, class gossiper.Class) error {
	data, err := json.Marshal(v)
	if err != nil {
		return errors.Wrapf(err, "encode %s record", kind)
	}
	var packed bytes.Buffer
	w, err := flate.NewWriter(&packed, flate.BestSpeed)
	if err != nil {
		return errors.Wrapf(err, "pack %s record", kind)
	}
	if _, err := w.Write(data); err != nil {
		return errors.Wrapf(err, "pack %s record", kind)
	}
	if err := w.Close(); err != nil {
		return errors.Wrapf(err, "pack %s record", kind)
	}
	return m.gossiper.Publish(m.instance.clock.Now(), kind, packed.Bytes(), class)
}

// unpack decodes and checks a record.
func unpack[T any, P checked[T]](data []byte) (T, error) {
	var v T
	plain, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(data)), maxRecordBytes+1))
	if err != nil {
		return v, errors.Wrap(err, "unpack record")
	}
	if len(plain) > maxRecordBytes {
		return v, errors.Errorf("record exceeds %d bytes", maxRecordBytes)
	}
	if err := json.Unmarshal(plain, &v); err != nil {
		return v, errors.Wrap(err, "decode record")
	}
	return v, P(&v).Check()
}

// subscribe calls take with the records of a kind of other instances, and gone
// when an owner died or left.
func subscribe[T any, P checked[T]](m *membership, kind string, take func(T), gone func(owner string)) {
	m.gossiper.Subscribe(kind, func(u gossiper.Update) {
		if u.Owner == m.instance.settings.Instance {
			return
		}
		if u.Gone {
			gone(u.Owner)
			return
		}
		v, err := unpack[T, P](u.Data)
		if err != nil {
			m.instance.recorder.Record(recorder.Event{Code: recorder.RecordRefused, Cause: kind + " of " + u.Owner + ": " + err.Error()})
			return
		}
		take(v)
	})
}

// others returns the names and addresses of the other live instances.
func (m *membership) others() map[string]string {
	addresses := map[string]string{}
	for _, member := range m.gossiper.Members() {
		if member.Live() && member.Name != m.instance.settings.Instance {
			addresses[member.Name] = member.PeerAddress
		}
	}
	return addresses
}

// sharers returns the names of the instances that share limits and pools: the
// live ones, and those of data centres that are not heard, which go on serving.
func (m *membership) sharers() []string {
	unheard := map[string]bool{}
	for _, dataCentre := range m.gossiper.Reach(m.instance.clock.Now()).Unreachable {
		unheard[dataCentre] = true
	}
	var names []string
	for _, member := range m.gossiper.Members() {
		if member.Live() || unheard[member.DataCentre] && member.State != gossiper.Left {
			names = append(names, member.Name)
		}
	}
	return names
}
