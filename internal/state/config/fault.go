package config

import (
	"fmt"
	"strings"
)

type (
	// Fault is one thing wrong with a file. Line and Column count from 1; they
	// are 0 where the fault has no place.
	Fault struct {
		Line   int    `json:"line"`
		Column int    `json:"column"`
		Path   string `json:"path"`
		Text   string `json:"text"`
	}

	// Faults is every fault of a file, in the order of their places.
	Faults []Fault
)

// String returns the fault as line:column: path: text.
func (f Fault) String() string {
	return fmt.Sprintf("%d:%d: %s: %s", f.Line, f.Column, f.Path, f.Text)
}

// Error returns the faults, one a line.
func (f Faults) Error() string {
	lines := make([]string, len(f))
	for i := range f {
		lines[i] = f[i].String()
	}
	return strings.Join(lines, "\n")
}
