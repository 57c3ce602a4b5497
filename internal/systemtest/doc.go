// Package systemtest holds tests of the whole system: real router and sidecar
// processes on loopback, between stand-ins of the platform and of the backend
// servers that run inside the test.
package systemtest
