// Package version holds the version of the programs.
package version

// Version is the version of all programs built from this tree.
const Version = "0.1.0"
