package server

import (
	"testing"

	"gotest.tools/v3/golden"
)

// Guards against a docs/errors.md that differs from the code; run with -update to rewrite it.
func TestDocumentMatchesPage(t *testing.T) {
	golden.Assert(t, Document(), "../../docs/errors.md")
}
