// Package crowd has clients that don't behave, and tests the programs against them. A crowd is a number of clients that
// do the same: they hold memory or descriptors of a process with headers, bodies or connections. The tests
// start limpetp and limpetd as processes on loopback addresses, with lowered limits, and send them
// a fixed crowd of clients that hold memory or descriptors. The tests check what does not depend
// on the speed of the machine: the process lives, its memory and descriptors stay under the limits
// of its settings, and an ordinary request is answered afterwards.
//
// # Usage
//
//	stop := crowd.Start(ctx, crowd.Entry{Address: address, Head: head}, crowd.BodyPatterns[0], 300)
//	closed := stop()
//
// The tests must not run beside others, which would compete for their time:
//
//	go test -p 1 -count 1 -v ./limpetlab/crowd
package crowd
