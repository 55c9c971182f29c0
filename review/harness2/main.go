// Command harness2 runs the cases of the second review: it starts instances of the product
// as separate processes on loopback addresses, with a store, backends and clients of its own.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// longestCase is the time after which a case is given up.
const longestCase = 115 * time.Second

// Results of a case, as exit codes.
const (
	held     = 0
	broken   = 1
	couldNot = 2
)

// cases are the cases by name. Each gets whether the disruption is played, and returns
// whether the rule was broken.
var cases = map[string]func(f *fleet, trouble bool) (bool, error){
	"cut-answer":     cutAnswer,
	"late-heartbeat": lateHeartbeat,
	"quota-crowd":    quotaCrowd,
	"cold-again":     coldAgain,
	"turned-away":    turnedAway,
}

func main() { os.Exit(run()) }

// run plays the case that the first argument names. The second is the product's program, the
// third the record's path.
func run() int {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: harness2 CASE PROGRAM RECORD")
		return couldNot
	}
	r, err := newRecord(os.Args[3])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return couldNot
	}
	trouble := os.Getenv("TROUBLE") != "0"
	r.logf("case %s, trouble %t", os.Args[1], trouble)
	f, err := newFleet(r, os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return couldNot
	}
	defer f.close()
	type result struct {
		bad bool
		err error
	}
	done := make(chan result, 1)
	go func() {
		bad, err := cases[os.Args[1]](f, trouble)
		done <- result{bad, err}
	}()
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGINT, syscall.SIGTERM)
	select {
	case got := <-done:
		switch {
		case got.err != nil:
			r.logf("could not run: %v", got.err)
			fmt.Println("could not run:", got.err)
			return couldNot
		case got.bad:
			fmt.Println("the rule was broken")
			return broken
		}
		fmt.Println("the rule held")
		return held
	case <-stop:
	case <-time.After(longestCase):
	}
	r.logf("could not run: stopped")
	fmt.Println("could not run: stopped")
	return couldNot
}
