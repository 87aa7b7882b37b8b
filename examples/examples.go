// Package examples holds the sample files, for the demo and for tests.
package examples

import _ "embed"

var (
	// Wickhollow is Wickhollow Software's file.
	//
	//go:embed wickhollow.yaml
	Wickhollow []byte

	// Cooperative is the Nile Hazard Writers Cooperative's file.
	//
	//go:embed cooperative.yaml
	Cooperative []byte
)
