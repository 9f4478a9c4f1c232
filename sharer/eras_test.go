package sharer

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/gypsumwharf/gypsumwharf/storer"
	"github.com/gypsumwharf/gypsumwharf/timekeeper"
)

func inEra(t *testing.T, e storer.Era, revision int64) storer.Version {
	t.Helper()
	v, err := storer.NewVersion(e, revision)
	assert.NilError(t, err)
	return v
}

// Guards against followers that no relay serves in an era of the store, and against
// programs that know no eras and are misled or left alone by those that do.
func TestRelaysServeTheFollowersOfTheirEra(t *testing.T) {
	const perCentre = 40
	for name, c := range map[string]struct {
		knowsEras func(*instance) bool
		sole      storer.Era
	}{
		"all know eras":               {func(*instance) bool { return true }, 3},
		"all have known another, too": {func(*instance) bool { return true }, 0},
		"relays know none":            {func(n *instance) bool { return n.Self.ProcessorShare < 0.5 }, 3},
		"followers know none":         {func(n *instance) bool { return n.Self.ProcessorShare > 0.5 }, 3},
	} {
		t.Run(name, func(t *testing.T) {
			knowsEras, sole := c.knowsEras, c.sole
			f := newFleet(t, perCentre)
			f.noEras = func(n *instance) bool { return !knowsEras(n) }
			for _, n := range f.instances {
				var era storer.Era
				if knowsEras(n) {
					era = 3
					n.SoleEra = func() storer.Era { return sole }
				}
				n.source.version = inEra(t, era, 5)
				if n.Self.ProcessorShare > 0.5 {
					n.source.version += 4
				}
			}
			f.run(2 * timekeeper.Second)
			for _, n := range f.instances {
				assert.Equal(t, n.source.version.Revision(), int64(9), n.Self.Name)
				assert.Equal(t, n.source.version.Era() == 3, knowsEras(n), n.Self.Name)
			}
		})
	}
}

// Guards against messages without an era that are taken for those of the era after a return.
func TestMessagesWithoutAnEraAreNotUsedAfterAReturn(t *testing.T) {
	f := newFleet(t, 40)
	f.noEras = func(n *instance) bool { return n.Self.ProcessorShare > 0.5 }
	for _, n := range f.instances {
		n.SoleEra = func() storer.Era { return 0 } // More than one was known.
		n.source.version = inEra(t, 4, 5)
		if n.Self.ProcessorShare > 0.5 {
			n.SoleEra, n.source.version = nil, inEra(t, 0, 9)
		}
	}
	f.run(2 * timekeeper.Second)
	for _, n := range f.instances {
		if n.Self.ProcessorShare < 0.5 {
			assert.Equal(t, n.source.version, inEra(t, 4, 5), n.Self.Name)
		}
	}
}
