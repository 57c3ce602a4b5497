// Package matrixtest holds the fault matrix: each fault at each step of a
// request, for each kind of request. It runs the whole path in one process: the
// router's filter chain, real sidecars over drpc on loopback, and the stand-ins.
package matrixtest
