// Package examples holds the example files, for the demo and for tests that keep them valid.
package examples

import _ "embed" // for the files

// Rules is an example of a rules file.
//
//go:embed rules.txt
var Rules string
