// Package matrixtest tests the fault matrix: each fault at each step of a
// request, for each kind of request. The whole path runs in one process: the
// router's filter chain, real sidecars over DRPC on loopback, and simulated backend
// servers and platform services.
package matrixtest
