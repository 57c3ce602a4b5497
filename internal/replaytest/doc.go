// Package replaytest plays recorded and drawn load against the gateway's decisions:
// the real relay, fleet and directory of cached parts, before the stand-in of a model
// engine, on a virtual clock. Simpler policies run beside the gateway's own.
package replaytest
