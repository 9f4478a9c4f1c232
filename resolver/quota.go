package resolver

// Quota bounds what a workspace may use over all instances, in requests or in tokens.
type Quota struct {
	Rate       float64 // For each second.
	Burst      float64
	Tokens     bool    // Rate and burst are in tokens.
	Undeclared float64 // Tokens of a request that doesn't declare its token counts.
}

// Amount returns what a request with the declared token counts uses of the quota. Counts
// that no request can have count as undeclared.
func (q Quota) Amount(input, output int) float64 {
	switch {
	case !q.Tokens:
		return 1
	case input < 0 || output < 0 || input+output <= 0:
		return q.Undeclared
	default:
		return float64(input + output)
	}
}

// Quota returns the quota of a workspace, and false if it has none.
func (d *Directory) Quota(workspace string) (Quota, bool) {
	q, ok := d.quotas[workspace]
	return q, ok
}

// HasQuotas reports whether any workspace has a quota.
func (d *Directory) HasQuotas() bool { return len(d.quotas) > 0 }
