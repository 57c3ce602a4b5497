// Package config parses and validates the two kinds of configuration: the
// document, which operators write for a whole environment, and the settings of
// one daemon.
package config
