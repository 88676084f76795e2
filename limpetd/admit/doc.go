// Package admit holds calls back until a backend server has room for them, in
// the order of their priorities, and sheds those that cannot meet their
// expectation.
//
// State decides; it is pure and needs a time with each call. Queue is the duty
// around it: it blocks callers, renews the view and keeps the time.
//
// A call waits in the daemon, not in an engine, so that an urgent call never
// queues behind others. The most urgent rank comes first, within a rank the
// earliest expectation. Each engine has a window of requests, which shrinks when
// first tokens are late and grows when they are not. Urgent calls may fill it,
// others leave a reserve, deferred work fills gaps and rises as its deadline
// nears. A call that cannot meet its expectation any more is refused at once, with
// the time after which it should be sent again, and is never sent.
//
// # Usage
//
//	q := admit.New(ctx, admit.Config{VM: "vm-a1", DataCentre: "a"}, admit.Deps{...})
//	ticket, err := q.Admit(ctx, admit.Request{Priority: "live", Route: r})
//	if err != nil { wait := admit.RetryAfter(err) ... }
//	... dispatch to ticket.Choice(); ticket.FirstToken() ...
//	ticket.Release(admit.OutcomeAnswered)
package admit
