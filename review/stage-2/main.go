// Command stage-2 plays the cases of the second review that are scripts: it starts the
// program as separate processes among stand-ins, disturbs them, and judges what clients,
// servers and the platform have seen.
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"runtime"
)

// Processes end with the thread that started them.
func init() { runtime.LockOSThread() }

// Exit codes of a case.
const (
	held     = 0
	broken   = 1
	notRun   = 2
	programs = "target/gypsumwharf"
)

// cases are the cases by name. Each returns whether the rule was broken.
var cases = map[string]func(w *world, trouble bool) (bool, error){
	"twice":   twice,
	"hangup":  hangup,
	"limits":  limits,
	"tenants": tenants,
	"path":    slashes,
}

func main() {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: stage-2 CASE ROOT RECORD")
		os.Exit(notRun)
	}
	os.Exit(play(os.Args[1], os.Args[2], os.Args[3]))
}

func play(name, root, path string) int {
	r, err := newRecord(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return notRun
	}
	trouble := os.Getenv("TROUBLE") != "0"
	r.line("case %s, trouble %t", name, trouble)
	w, err := newWorld(filepath.Join(root, programs), r)
	if w != nil {
		defer w.close()
	}
	if err != nil {
		r.line("could not run: %v", err)
		return notRun
	}
	isBroken, err := cases[name](w, trouble)
	switch {
	case err != nil:
		r.line("could not run: %v", err)
		fmt.Fprintln(os.Stderr, "could not run:", err)
		return notRun
	case isBroken:
		r.line("the rule is broken")
		fmt.Println("the rule is broken")
		return broken
	}
	r.line("the rule holds")
	fmt.Println("the rule holds")
	return held
}
