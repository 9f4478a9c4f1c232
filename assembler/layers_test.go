package assembler_test

import (
	"go/parser"
	"go/token"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

const module = "github.com/gypsumwharf/gypsumwharf/"

// layers maps each package to its layer. A package may import packages of its own layer
// and of lower ones.
var layers = map[string]int{
	"schema": 0, "timekeeper": 0,
	"checker": 1, "connector": 1, "recorder": 1, "storer": 1,
	"configurer": 2, "declarer": 2, "reloader": 2,
	"authenticator": 3, "certifier": 1, "claimer": 3, "distributor": 3, "estimator": 3, "gossiper": 3, "leaser": 3, "limiter": 3,
	"meter": 3, "orderer": 3, "planner": 3, "quarantiner": 3, "retrier": 3, "router": 3, "scheduler": 3, "triager": 3,
	"allocator": 3, "follower": 3, "reserver": 3, "profiler": 3, "sharer": 3, "registrar": 3, "resolver": 3, "tracker": 3, "placer": 3, "tallier": 3, "provisioner": 3,
	"acceptor": 4, "dispatcher": 4, "messenger": 4, "server": 4, "relayer": 4,
	"gatekeeper": 5, "emulator": 5, "assembler": 5, "faker": 5, "renderer": 5,
	"demonstrator": 6, "platform": 6, "experimenter": 6,
	"commander": 7,
	"cmd":       8,
}

// Guards against imports from decision packages to transport packages or from domain
// types to decision packages.
func TestImportsPointOneWay(t *testing.T) {
	files, err := filepath.Glob("../*/*.go")
	assert.NilError(t, err)
	more, err := filepath.Glob("../cmd/*/*.go")
	assert.NilError(t, err)
	for _, file := range append(files, more...) {
		if strings.HasSuffix(file, "_test.go") {
			continue
		}
		from := strings.Split(filepath.ToSlash(file), "/")[1]
		layer, known := layers[from]
		assert.Check(t, known, "package %s has no layer", from)
		data, err := os.ReadFile(file)
		assert.NilError(t, err)
		parsed, err := parser.ParseFile(token.NewFileSet(), file, data, parser.ImportsOnly)
		assert.NilError(t, err)
		for _, spec := range parsed.Imports {
			path, err := strconv.Unquote(spec.Path.Value)
			assert.NilError(t, err)
			to, own := strings.CutPrefix(path, module)
			if own {
				assert.Check(t, layers[to] <= layer, "%s imports %s, which is in a higher layer", file, to)
			}
		}
	}
}
