// Package admit queues calls until a backend server has room for them, in the
// order of their priorities, and sheds calls that can no longer meet their
// expected time to the first token.
//
// State makes the decisions. It is a pure state machine: each method receives the
// current time. Queue runs a State in a daemon: it blocks callers, updates the
// view of the engines and reads the clock.
//
// Calls wait in the daemon and not in an engine, so that an urgent call never
// queues behind less urgent ones. Calls are ordered by rank, the most urgent
// first, and within a rank by the time at which their first token is expected.
//
// Each engine has a window, the maximum number of requests it should have. The
// window shrinks when first tokens are late and grows when they are early. Urgent
// calls may fill the whole window. Normal calls leave a reserve for urgent ones.
// Deferred calls fill a part of the rest, and are promoted as their deadline
// approaches. A call that can no longer meet its expected time is refused
// immediately with a retry-after, and is never sent.
//
// # Usage
//
//	q := admit.New(ctx, admit.Config{VM: "vm-a1", DataCentre: "a"}, admit.Deps{...})
//	ticket, err := q.Admit(ctx, admit.Request{Priority: "live", Route: r})
//	if err != nil { wait := admit.RetryAfter(err) ... }
//	... dispatch to ticket.Choice(); ticket.FirstToken() ...
//	ticket.Release(admit.OutcomeAnswered)
package admit
