package assembler

import "github.com/gypsumwharf/gypsumwharf/timekeeper"

// Known sets the instances that share limits and pools.
func (i *Instance) Known(now timekeeper.Millis, names ...string) { i.admission.known(now, names) }
