// Command harness3 plays the cases of review/REPORT-3.md: it starts the program's processes by
// the command of the deploy file, with stand-ins of the store, the backends and the clients.
//
//	harness3 CASE RECORD
//
// It ends with status 1 if the rule was broken, 0 if it held and 2 if the case could not run.
// With TROUBLE=0 it leaves the disruption out.
package main

import (
	"fmt"
	"os"
)

// cases are the cases by name.
var cases = map[string]func(rec *record, trouble bool){
	"cold-restart":       coldRestart,
	"dead-machine":       deadMachine,
	"early-answers":      earlyAnswers,
	"early-long-answers": earlyLongAnswers,
	"late-return":        lateReturn,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: harness3 CASE RECORD")
		os.Exit(2)
	}
	rec := newRecord(os.Args[2])
	cases[os.Args[1]](rec, os.Getenv("TROUBLE") != "0")
	rec.finish()
}
