package assembler

import (
	"context"
	"encoding/json"
	"strconv"
	"sync/atomic"

	"github.com/pkg/errors"

	"github.com/gypsumwharf/gypsumwharf/declarer"
	"github.com/gypsumwharf/gypsumwharf/recorder"
	"github.com/gypsumwharf/gypsumwharf/storer"
	"github.com/gypsumwharf/gypsumwharf/timekeeper"
)

// CurrentObject is the object that holds the configuration in force.
const CurrentObject = "config/current"

// Accepted is a configuration as it is stored.
type Accepted struct {
	Generation  int64                `json:"generation"`
	Author      string               `json:"author"`
	ApplyID     string               `json:"apply-id"`
	Declaration declarer.Declaration `json:"declaration"`
}

// InForce reads the configuration in force; generation 0 means that there is none.
func InForce(ctx context.Context, o storer.Objects) (Accepted, error) {
	current, _, err := storer.Get(ctx, o, CurrentObject, decodeAccepted)
	return current, errors.Wrap(err, "read the configuration in force")
}

// Publish stores a configuration by one conditional update and returns its generation.
func Publish(ctx context.Context, o storer.Objects, author, applyID string, d declarer.Declaration) (int64, error) {
	current, version, err := storer.Get(ctx, o, CurrentObject, decodeAccepted)
	if err != nil {
		return 0, errors.Wrap(err, "read the configuration in force")
	}
	next := Accepted{Generation: current.Generation + 1, Author: author, ApplyID: applyID, Declaration: d}
	value, err := json.Marshal(next)
	if err != nil {
		return 0, errors.Wrap(err, "encode configuration")
	}
	if _, err := o.Put(ctx, CurrentObject, value, version); err != nil {
		return 0, errors.Wrap(err, "store configuration")
	}
	return next.Generation, nil
}

func decodeAccepted(data []byte) (Accepted, error) {
	var a Accepted
	return a, json.Unmarshal(data, &a)
}

// configuration keeps the newest configuration that the instance knows.
type configuration struct {
	instance *Instance
	current  atomic.Pointer[declarer.Catalogue]
}

func newConfiguration(i *Instance) *configuration {
	c := &configuration{instance: i}
	c.current.Store(declarer.NewCatalogue(0, declarer.Declaration{}))
	return c
}

func (c *configuration) catalogue() *declarer.Catalogue { return c.current.Load() }

// keyOwner returns the owner of a key that works now.
func (c *configuration) keyOwner(hash string) (declarer.KeyOwner, bool) {
	return c.catalogue().KeyOwner(hash)
}

func (c *configuration) run(ctx context.Context) {
	c.instance.every(ctx, 500*timekeeper.Millisecond, c.poll)
}

func (c *configuration) poll(ctx context.Context) {
	accepted, _, err := storer.Get(ctx, c.instance.platform, CurrentObject, decodeAccepted)
	if err != nil || accepted.Generation <= c.catalogue().Generation() {
		return
	}
	first := c.catalogue().Generation() == 0
	c.current.Store(declarer.NewCatalogue(accepted.Generation, accepted.Declaration))
	c.instance.recorder.Record(recorder.Event{Code: recorder.GenerationAdopted, Cause: "generation " + strconv.FormatInt(accepted.Generation, 10)})
	if first {
		c.instance.recorder.Record(recorder.Event{Code: recorder.ProcessReady})
	}
}
