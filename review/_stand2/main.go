// Command stand2 runs the scripted cases of the second review. It starts the project's own node
// program as separate processes on loopback addresses, with stand-ins for the platform's store,
// the workers and the clients.
package main

import (
	"fmt"
	"os"
	"time"
)

// cases are the scripted cases by the number of their folder.
var cases = map[string]func(rec *record, trouble bool) (int, error){
	"first-tenants":   firstTenants,
	"leaving-clients": leavingClients,
	"key-passed-on":   keyPassedOn,
	"last-requests":   lastRequests,
	"early-answers":   earlyAnswers,
}

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: stand2 CASE FOLDER")
		os.Exit(exitCannot)
	}
	play, found := cases[os.Args[1]]
	if !found {
		fmt.Fprintf(os.Stderr, "there is no case %q\n", os.Args[1])
		os.Exit(exitCannot)
	}
	rec := &record{start: time.Now()}
	code, err := play(rec, os.Getenv("TROUBLE") != "0")
	if err != nil {
		rec.note("the case could not run: %v", err)
		code = exitCannot
	}
	if err := rec.write(os.Args[2]); err != nil {
		fmt.Fprintln(os.Stderr, err)
		code = exitCannot
	}
	os.Exit(code)
}
