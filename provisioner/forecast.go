package provisioner

import "math"

// Forecast is the number of engines that a service's traffic needs. The zero value sets
// no bound.
type Forecast struct {
	// Headroom is the multiple of the recent peak that is kept; 0 disables the forecast.
	Headroom float64
	Known    bool
	// Peak is the number of engines that the recent peak kept busy.
	Peak float64
}

// missing returns how many more engines each of several data centres needs, if the
// service has some already. While the demand is unknown, none are missing.
func (f Forecast) missing(present, centres int) int {
	switch {
	case f.Headroom == 0:
		return math.MaxInt32
	case !f.Known:
		return 0
	}
	return max(int(math.Ceil((f.Headroom*f.Peak-float64(present))/float64(max(centres, 1)))), 0)
}
