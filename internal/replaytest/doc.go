// Package replaytest replays recorded and generated load against the gateway's routing
// decisions: the real relay, fleet and directory of cached parts in front of simulated
// model engines, on a virtual clock. The gateway's placement policy is compared with
// simpler ones.
package replaytest
