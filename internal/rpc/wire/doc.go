// Package wire holds the messages and services between the processes of
// wasabigate, generated from wasabigate.proto.
package wire

//go:generate make -C ../../.. generate
