// Command stand runs the cases of the review that are scripts. It starts the nodes with the
// command of the deploy file, and plays the clients, the workers and the platform.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
)

// The exit codes.
const (
	codeHeld   = 0
	codeBroken = 1
	codeNotRun = 2
)

// cases are the cases by name. A case returns the lines that tell how the rule was broken.
var cases = map[string]func(r *recorder, trouble bool) (broken []string, err error){}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: stand CASE FOLDER")
		os.Exit(codeNotRun)
	}
	r, err := newRecorder(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(codeNotRun)
	}
	stopped := make(chan os.Signal, 1)
	signal.Notify(stopped, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-stopped
		killAll()
		os.Exit(codeNotRun)
	}()
	broken, err := cases[os.Args[1]](r, os.Getenv("TROUBLE") != "0")
	for _, line := range broken {
		r.note("broken  %s", line)
		fmt.Println(line)
	}
	r.note("end     %d broken, error %v", len(broken), err)
	r.close()
	switch {
	case err != nil:
		fmt.Fprintln(os.Stderr, err)
		os.Exit(codeNotRun)
	case len(broken) > 0:
		os.Exit(codeBroken)
	default:
		fmt.Println("the rule held")
		os.Exit(codeHeld)
	}
}
