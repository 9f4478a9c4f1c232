package assembler

// Leaving reports whether the instance gives a target no new work because it leaves.
func (i *Instance) Leaving(target string) bool { return i.routing.router.Leaving(target) }

// Polled returns the names of the targets that the instance asks for their load.
func (i *Instance) Polled() []string {
	names := []string{}
	for _, t := range i.routing.reports.polled() {
		names = append(names, t.Name)
	}
	return names
}
