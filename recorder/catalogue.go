package recorder

import (
	"fmt"
	"sort"
	"strings"

	"go.uber.org/zap/zapcore"
)

// Catalogue describes every kind of event, by number.
var Catalogue = mergeEntries(processEvents, requestEvents, targetEvents, membershipEvents, claimEvents, configurationEvents, authorityEvents, usageEvents)

func mergeEntries(blocks ...map[Code]Entry) map[Code]Entry {
	all := map[Code]Entry{}
	for _, block := range blocks {
		for code, entry := range block {
			all[code] = entry
		}
	}
	return all
}

// Document renders docs/events.md from the catalogue.
func Document() string {
	codes := make([]int, 0, len(Catalogue))
	for code := range Catalogue {
		codes = append(codes, int(code))
	}
	sort.Ints(codes)
	var b strings.Builder
	b.WriteString("# Events\n\nEvery log line and every entry of the time line has one of these numbers. The page is generated from package recorder; a test keeps both equal.\n\n")
	b.WriteString("| event | name | level | meaning | what to do |\n| --- | --- | --- | --- | --- |\n")
	for _, code := range codes {
		e := Catalogue[Code(code)]
		fmt.Fprintf(&b, "| %d | %s | %s | %s | %s |\n", code, e.Name, e.Level, e.Meaning, e.Action)
	}
	return b.String()
}

const (
	debug   = zapcore.DebugLevel
	info    = zapcore.InfoLevel
	warning = zapcore.WarnLevel
	failure = zapcore.ErrorLevel
)
