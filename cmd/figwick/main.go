// Command figwick is the proxy fleet's one program: a node, the operators'
// client and a demo.
package main

import (
	"context"
	"fmt"
	"os"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"
)

// version is set when a release is built.
var version = "dev"

func main() {
	cli.VersionPrinter = func(*cli.Command) { fmt.Println(version) }
	err := command().Run(context.Background(), os.Args)
	os.Exit(exitCode(err))
}

func command() *cli.Command {
	return &cli.Command{
		Name:    "figwick",
		Usage:   "a proxy fleet for backend servers with gray failures",
		Version: version,
		Description: "Exit codes: 0 done; 1 failed; 2 a setting or argument is wrong; " +
			"3 the file is invalid; 4 the file was not accepted, another was; " +
			"5 it is not known whether the file was accepted; 6 the node cannot be reached.",
		Commands: []*cli.Command{
			nodeCommand(),
			demoCommand(),
			checkCommand(),
			applyCommand(),
			getCommand(),
			diffCommand(),
			statusCommand(),
			dumpCommand(),
			drainCommand(),
			versionCommand(),
		},
		ExitErrHandler: func(context.Context, *cli.Command, error) {},
	}
}

func versionCommand() *cli.Command {
	return &cli.Command{
		Name:  "version",
		Usage: "print the version",
		Action: func(_ context.Context, c *cli.Command) error {
			_, err := fmt.Fprintln(c.Root().Writer, version)
			return err
		},
	}
}

// The exit codes.
const (
	codeDone = iota
	codeFailed
	codeUsage
	codeInvalid
	codeConflict
	codeUnresolved
	codeUnreachable
)

// codedError is an error with its exit code.
type codedError struct {
	error
	code int
}

func coded(code int, err error) error {
	return &codedError{error: err, code: code}
}

// Unwrap returns the error without the code.
func (e *codedError) Unwrap() error {
	return e.error
}

func exitCode(err error) int {
	if err == nil {
		return codeDone
	}
	fmt.Fprintln(os.Stderr, "figwick:", err)
	var withCode *codedError
	if errors.As(err, &withCode) {
		return withCode.code
	}
	return codeFailed
}
