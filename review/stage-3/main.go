// Command stage-3 plays the cases of the third review: it starts entry instances as
// processes of their own before stand-ins of the platform, the servers and the clients, and
// judges one rule by what these have seen.
package main

import (
	"flag"
	"fmt"
	"os"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// cases are the cases by name. Each returns whether the rule was broken.
var cases = map[string]func(w *world, trouble bool) (broken bool, err error){
	"crash-after-first-event": crashAfterFirstEvent,
	"crashes-forgotten":       crashesForgotten,
}

func main() {
	record := flag.String("record", "record.txt", "file that gets what was sent, answered and run")
	program := flag.String("program", "target/gypsumwharf", "the program under review")
	flag.Parse()
	os.Exit(play(flag.Arg(0), *program, *record, os.Getenv("TROUBLE") != "0"))
}

// play plays a case and returns its exit code.
func play(name, program, record string, trouble bool) int {
	run, ok := cases[name]
	if !ok {
		fmt.Fprintf(os.Stderr, "unknown case %q\n", name)
		return exitFailed
	}
	w, err := newWorld(program, record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	w.notef("case %s, trouble %t", name, trouble)
	broken, err := run(w, trouble)
	if closeErr := w.close(); err == nil {
		err = closeErr
	}
	switch {
	case err != nil:
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	case broken:
		fmt.Println("the rule was broken")
		return exitBroken
	default:
		fmt.Println("the rule held")
		return exitHeld
	}
}
