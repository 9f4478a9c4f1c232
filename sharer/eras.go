package sharer

import "github.com/gypsumwharf/gypsumwharf/storer"

// impliedEra returns the era of messages that name none.
func (s *Sharer) impliedEra() storer.Era {
	if s.SoleEra == nil {
		return 0
	}
	return s.SoleEra()
}

// encode returns the versions as they are sent, and their eras.
func (v Versions) encode() (revisions Versions, eras Eras) {
	revisions, eras = Versions{}, Eras{}
	for kind, version := range v {
		revisions[kind] = storer.Version(version.Revision())
		if era := version.Era(); era != 0 {
			eras[kind] = era
		}
	}
	return revisions, eras
}

// decode returns the versions that were received, without those that are out of range; nil
// stays nil. Those without an era are of the implied one.
func (v Versions) decode(eras Eras, implied storer.Era) Versions {
	if v == nil {
		return nil
	}
	versions := Versions{}
	for kind, revision := range v {
		era, ok := eras[kind]
		if !ok {
			era = implied
		}
		if version, err := storer.NewVersion(era, int64(revision)); err == nil {
			versions[kind] = version
		}
	}
	return versions
}
