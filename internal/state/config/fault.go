package config

import (
	"fmt"
	"strings"
)

type (
	// Fault is one error in a file. Line and Column count from 1; they are 0 if
	// the position is unknown. Path has the form $.services[0].name.
	Fault struct {
		Line   int    `json:"line"`
		Column int    `json:"column"`
		Path   string `json:"path"`
		Text   string `json:"text"`
	}

	// Faults lists every fault of a file, sorted by line and column. It
	// implements error.
	Faults []Fault
)

// String returns the fault as line:column: path: text.
func (f Fault) String() string {
	return fmt.Sprintf("%d:%d: %s: %s", f.Line, f.Column, f.Path, f.Text)
}

// Error returns the faults, one per line.
func (f Faults) Error() string {
	lines := make([]string, len(f))
	for i := range f {
		lines[i] = f[i].String()
	}
	return strings.Join(lines, "\n")
}
