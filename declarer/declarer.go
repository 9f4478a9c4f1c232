// Package declarer loads declarations (contracts, routes, targets, classes and
// keys) from a folder, checks them, compares two sets and indexes a set for lookups.
package declarer

import (
	"fmt"
	"os"
	"path/filepath"
	"sort"

	"github.com/pkg/errors"

	"github.com/gypsumwharf/gypsumwharf/checker"
)

// ErrNoFiles means that a folder holds no declaration files.
var ErrNoFiles = errors.New("folder holds no *.json or *.jsonc files")

// source is a declaration and its document, which locates faults by line.
type source struct {
	document    checker.Document
	declaration Declaration
}

// LoadDir reads and merges every *.json and *.jsonc file of a folder. The error
// lists all faults of all files.
func LoadDir(dir string) (Declaration, error) {
	files, err := declarationFiles(dir)
	if err != nil {
		return Declaration{}, err
	}
	var (
		sources []source
		faults  checker.Faults
	)
	for _, file := range files {
		data, err := os.ReadFile(file)
		if err != nil {
			return Declaration{}, errors.Wrap(err, "read declarations")
		}
		s, err := parse(file, data)
		var found checker.Faults
		if errors.As(err, &found) {
			faults = append(faults, found...)
			continue
		}
		if err != nil {
			return Declaration{}, err
		}
		sources = append(sources, s)
	}
	if len(faults) > 0 {
		return Declaration{}, faults.Sorted()
	}
	return merge(sources)
}

// Parse decodes and checks a document that must declare all items it refers to.
func Parse(file string, data []byte) (Declaration, error) {
	s, err := parse(file, data)
	if err != nil {
		return Declaration{}, err
	}
	return merge([]source{s})
}

func declarationFiles(dir string) ([]string, error) {
	var files []string
	for _, pattern := range []string{"*.json", "*.jsonc"} {
		matches, err := filepath.Glob(filepath.Join(dir, pattern))
		if err != nil {
			return nil, errors.Wrap(err, "list declarations")
		}
		files = append(files, matches...)
	}
	if len(files) == 0 {
		return nil, errors.Wrap(ErrNoFiles, dir)
	}
	sort.Strings(files)
	return files, nil
}

func parse(file string, data []byte) (source, error) {
	document, faults := checker.Parse(file, data)
	if len(faults) > 0 {
		return source{}, faults
	}
	s := source{document: document}
	if err := document.Decode("declaration.json", &s.declaration); err != nil {
		return source{}, err
	}
	return s, nil
}

func merge(sources []source) (Declaration, error) {
	var merged Declaration
	for _, s := range sources {
		merged = merged.With(s.declaration)
	}
	if faults := crossCheck(merged, sources); len(faults) > 0 {
		return Declaration{}, faults.Sorted()
	}
	return merged.Sorted(), nil
}

// With returns a declaration that holds the items of both.
func (j Declaration) With(other Declaration) Declaration {
	return Declaration{
		DataCentres: concat(j.DataCentres, other.DataCentres),
		Classes:     concat(j.Classes, other.Classes),
		Models:      concat(j.Models, other.Models),
		Routes:      concat(j.Routes, other.Routes),
		Targets:     concat(j.Targets, other.Targets),
		Workspaces:  concat(j.Workspaces, other.Workspaces),
	}
}

// Sorted returns a copy with its lists sorted by name, so that equal contents have
// equal encodings.
func (j Declaration) Sorted() Declaration {
	sorted := j.With(Declaration{})
	sortBy(sorted.DataCentres, func(d DataCentre) string { return d.Name })
	sortBy(sorted.Classes, func(c Class) string { return c.Name })
	sortBy(sorted.Models, func(m Model) string { return m.Name })
	sortBy(sorted.Routes, func(r Route) string { return r.Name })
	sortBy(sorted.Targets, func(t Target) string { return t.Name })
	sortBy(sorted.Workspaces, func(w Workspace) string { return w.Name })
	return sorted
}

func concat[T any](a, b []T) []T {
	return append(append(make([]T, 0, len(a)+len(b)), a...), b...)
}

func sortBy[T any](items []T, name func(T) string) {
	sort.SliceStable(items, func(i, j int) bool { return name(items[i]) < name(items[j]) })
}

// EffectiveLimits returns the workspace's limits; the zero value means no limits.
func (j Workspace) EffectiveLimits() Limits {
	if j.Limits == nil {
		return Limits{}
	}
	return *j.Limits
}

// Serves reports whether the target can run requests of the route.
func (j Target) Serves(r Route) bool {
	if r.Kind == RouteKindService {
		return j.Kind == TargetKindService && j.Service == r.Service
	}
	if j.Kind != TargetKindEngine {
		return false
	}
	for _, m := range j.Models {
		if m == r.Model {
			return true
		}
	}
	return false
}

// String returns the data centre's name and region.
func (j DataCentre) String() string { return fmt.Sprintf("%s (%s)", j.Name, j.Region) }
