package server

import (
	"testing"

	"gotest.tools/v3/golden"
)

// Guards against a page of errors that differs from the code; run with -update to write it.
func TestDocumentMatchesPage(t *testing.T) {
	golden.Assert(t, Document(), "../../docs/errors.md")
}
