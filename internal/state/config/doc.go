// Package config defines the operators' configuration file, validates it, and
// compiles it into a table that requests are matched against.
//
// Parse accepts a valid file and rejects any other. The error lists every fault
// with its line and column:
//
//	file, err := config.Parse(text)
//	var faults config.Faults
//	if errors.As(err, &faults) {
//		for _, f := range faults { fmt.Println(f) }
//	}
//
// Faults never quote an API key. A Table holds the keys of organisations as hashes only.
//
// A File is plain data. Compile turns it into a Table, which is immutable and
// safe for concurrent use. A node replaces its Table as a whole when the
// configuration changes.
package config
