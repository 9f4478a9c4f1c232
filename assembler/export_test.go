package assembler

// Leaving reports whether the instance sends a target no new work because it is leaving.
func (i *Instance) Leaving(target string) bool { return i.routing.router.Draining(target) }

// Polled returns the names of the targets that the instance polls for their load.
func (i *Instance) Polled() []string {
	names := []string{}
	for _, t := range i.routing.reports.polledTargets() {
		names = append(names, t.Name)
	}
	return names
}
