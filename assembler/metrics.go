package assembler

import (
	"expvar"
	"runtime"
)

// Metrics are the instance's metrics for operators; docs/operators.md describes each.
type Metrics struct {
	Events            map[string]int64 `json:"events"`
	Generation        int64            `json:"generation"`
	RunningRequests   int64            `json:"running-requests"`
	PeerBytesReceived int64            `json:"peer-bytes-received"`
	PeerBytesSent     int64            `json:"peer-bytes-sent"`
	Goroutines        int              `json:"goroutines"`
	HeapBytes         uint64           `json:"heap-bytes"`
}

// Metrics returns a variable that collects the instance's metrics when it is read.
func (i *Instance) Metrics() expvar.Func {
	return func() any {
		var memory runtime.MemStats
		runtime.ReadMemStats(&memory)
		received, sent := i.messenger.Bytes()
		return Metrics{
			Events: i.recorder.Counts(), Generation: i.Catalogue().Generation(), RunningRequests: i.running.Load(),
			PeerBytesReceived: received, PeerBytesSent: sent, Goroutines: runtime.NumGoroutine(), HeapBytes: memory.HeapAlloc,
		}
	}
}
