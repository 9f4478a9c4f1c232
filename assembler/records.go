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
// cannot use up the memory.
const maxRecordBytes = 64 << 10

// checked is a pointer to a value that can validate itself.
type checked[T any] interface {
	*T
	Check() error
}

// publish publishes a value as this instance's gossip record of a kind. Records are
// compressed, because names of workspaces and targets repeat.
func (m *membership) publish(kind string, v any, class gossiper.Class) error {
	data, err := json.Marshal(v)
	if err != nil {
		return errors.Wrapf(err, "encode %s record", kind)
	}
	var packed bytes.Buffer
	w, err := flate.NewWriter(&packed, flate.BestSpeed)
	if err != nil {
		return errors.Wrapf(err, "compress %s record", kind)
	}
	if _, err := w.Write(data); err != nil {
		return errors.Wrapf(err, "compress %s record", kind)
	}
	if err := w.Close(); err != nil {
		return errors.Wrapf(err, "compress %s record", kind)
	}
	return m.gossiper.Publish(m.instance.clock.Now(), kind, packed.Bytes(), class)
}

// unpack decompresses, decodes and checks a record.
func unpack[T any, P checked[T]](data []byte) (T, error) {
	var v T
	plain, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(data)), maxRecordBytes+1))
	if err != nil {
		return v, errors.Wrap(err, "decompress record")
	}
	if len(plain) > maxRecordBytes {
		return v, errors.Errorf("record exceeds %d bytes", maxRecordBytes)
	}
	if err := json.Unmarshal(plain, &v); err != nil {
		return v, errors.Wrap(err, "decode record")
	}
	return v, P(&v).Check()
}

// subscribe calls onRecord with the records of a kind of other instances, and onGone
// when the owner of a record failed or left.
func subscribe[T any, P checked[T]](m *membership, kind string, onRecord func(T), onGone func(owner string)) {
	m.gossiper.Subscribe(kind, func(u gossiper.Update) {
		if u.Owner == m.instance.settings.Instance {
			return
		}
		if u.Removed {
			onGone(u.Owner)
			return
		}
		v, err := unpack[T, P](u.Data)
		if err != nil {
			m.instance.recorder.Record(recorder.Event{Code: recorder.RecordRefused, Cause: kind + " of " + u.Owner + ": " + err.Error()})
			return
		}
		onRecord(v)
	})
}

// remoteAddresses returns the peer addresses of the other live instances by name.
func (m *membership) remoteAddresses() map[string]string {
	addresses := map[string]string{}
	for _, member := range m.gossiper.Members() {
		if member.Live() && member.Name != m.instance.settings.Instance {
			addresses[member.Name] = member.PeerAddress
		}
	}
	return addresses
}

// sharingInstances returns the names of the instances that share limits and pools: the
// live ones, and those of unreachable data centres, which may still be serving.
func (m *membership) sharingInstances() []string {
	unreachable := map[string]bool{}
	for _, dataCentre := range m.gossiper.Connectivity(m.instance.clock.Now()).Unreachable {
		unreachable[dataCentre] = true
	}
	var names []string
	for _, member := range m.gossiper.Members() {
		if member.Live() || unreachable[member.DataCentre] && member.State != gossiper.Left {
			names = append(names, member.Name)
		}
	}
	return names
}
