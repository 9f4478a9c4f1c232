package follower

import (
	"encoding/json"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/gypsumwharf/gypsumwharf/storer"
	"github.com/gypsumwharf/gypsumwharf/timekeeper"
)

// Guards against versions that a message changes, or that programs without eras can't read.
func TestVersionsAreSentAsRevisions(t *testing.T) {
	for name, era := range map[string]storer.Era{"without an era": 0, "in an era": 7} {
		t.Run(name, func(t *testing.T) {
			v := func(revision int64) storer.Version {
				version, err := storer.NewVersion(era, revision)
				assert.NilError(t, err)
				return version
			}
			l := newChangeLog()
			objects := []storer.Object{{Name: "k/a", Version: v(5), Value: []byte(`{}`)}, {Name: "k/b", Version: v(8), Value: []byte(`{}`)}}
			l.add(Update{Complete: true, Version: v(4)}, timekeeper.Reading{})
			l.add(Update{Version: v(8), Changes: []storer.Change{{Object: objects[0]}, {Object: objects[1]}}}, timekeeper.Reading{})
			news, ok := l.since(v(4), timekeeper.Reading{})
			assert.Assert(t, ok)
			data, err := json.Marshal(news.Encoded())
			assert.NilError(t, err)
			var received News
			assert.NilError(t, json.Unmarshal(data, &received))
			assert.Equal(t, int64(received.At), int64(8))
			assert.Equal(t, int64(received.Items[1].Version), int64(8))
			decoded, ok := received.Decoded(0)
			assert.Assert(t, ok)
			assert.DeepEqual(t, decoded, news)
			packed, ok := l.packedSince(v(4), timekeeper.Reading{})
			assert.Assert(t, ok)
			unpacked, err := packed.News()
			assert.NilError(t, err)
			assert.DeepEqual(t, unpacked.Items, news.Items)
		})
	}
	_, ok := News{At: -1}.Decoded(0)
	assert.Check(t, !ok, "a version out of range")
}
