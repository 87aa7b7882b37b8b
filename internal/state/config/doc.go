// Package config is the operators' file: its shape, its checks, and the form
// that requests are matched against.
//
// Parse takes a whole file or nothing. Where it refuses, it lists every fault
// with its line and column:
//
//	file, err := config.Parse(text)
//	var faults config.Faults
//	if errors.As(err, &faults) {
//		for _, f := range faults { fmt.Println(f) }
//	}
//
// A File is plain data. Compile makes a Table of it, which is immutable and
// safe to share; a node swaps whole Tables between requests.
package config
