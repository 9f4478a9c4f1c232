package assembler

import "github.com/gypsumwharf/gypsumwharf/timekeeper"

// Share exchanges admission records with another instance, as gossip does.
func (i *Instance) Share(now timekeeper.Millis, with *Instance) error {
	i.admission.known(now, []string{i.settings.Instance, with.settings.Instance})
	i.admission.heard(now, with.settings.Instance)
	records, err := with.admission.records(now)
	for kind, payload := range records {
		if err == nil {
			err = i.admission.merge(now, kind, payload)
		}
	}
	return err
}
