// Package crowd tests the programs against clients that the project does not control. Its tests
// start limpetp and limpetd as processes on loopback addresses, with lowered limits, and send them
// a fixed crowd of clients that hold memory or descriptors. The tests check what does not depend
// on the speed of the machine: the process lives, its memory and descriptors stay under the limits
// of its settings, and an ordinary request is answered afterwards.
//
// # Usage
//
// The tests must not run beside others, which would compete for their time:
//
//	go test -p 1 -count 1 -v ./limpetlab/crowd
package crowd
