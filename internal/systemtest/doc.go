// Package systemtest holds tests of the whole system: real router and sidecar
// processes on loopback, with simulated platform services and backend servers that
// run in the test process.
package systemtest
