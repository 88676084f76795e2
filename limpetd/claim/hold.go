package claim

import (
	"context"

	"go.uber.org/zap"

	"github.com/limpetlb/limpetlb/limpetd/event"
)

// Hold is a claim that this daemon has made. Exactly one of Close, NotRun and
// Unknown must be called, once.
type Hold struct {
	claims *Claims
	// key is the table key of the claim's row.
	key string
	// version is the version that the next write requires of the row.
	version int64
	record  Record
	// insertUncertain reports whether an insertion without a known result may have
	// taken effect or may still do so.
	insertUncertain bool
}

// Close closes the claim with the outcome of the call. If the table cannot be
// reached, Close returns after at most closeTimeout and the claim is closed in the
// background.
func (h *Hold) Close(ctx context.Context, o Outcome) {
	if len(o.Body) > h.claims.config.MaxOutcomeBytes {
		o = Outcome{Status: o.Status, TooLong: true}
	}
	h.close(ctx, StateDone, &o)
}

// NotRun closes the claim of a call that is known not to have run, and so frees the
// key for a repeat.
func (h *Hold) NotRun(ctx context.Context) {
	h.close(ctx, StateNotRun, nil)
}

// close closes the claim in a state, with an outcome or nil.
func (h *Hold) close(ctx context.Context, state State, o *Outcome) {
	h.record.State = state
	h.record.Outcome = o
	h.record.Closed = h.claims.now()
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), closeTimeout)
	defer cancel()
	if !h.tryClose(ctx) {
		h.claims.closeLater(h)
	}
	h.claims.deps.Events.Add(event.Event{
		Kind:    event.ClaimClosed,
		Request: h.record.Request,
		Text:    string(state),
	})
}

// tryClose writes the closed record and reports whether nothing is left to do.
//
// If the key had a row before that was deleted, the inserted row has a higher
// version than h.version. The first write then fails with a conflict, which returns
// the version to use in a second write.
func (h *Hold) tryClose(ctx context.Context) bool {
	assumed := h.version
	return h.writeClosed(ctx) || h.version != assumed && h.writeClosed(ctx)
}

// writeClosed writes the closed record on the condition that the row has version
// h.version, and reports whether nothing is left to do. After a conflict with the
// open row of this claim it sets h.version to the version of that row.
func (h *Hold) writeClosed(ctx context.Context) bool {
	w := h.claims.writeRecord(ctx, h.key, h.version, h.record)
	if w.result == Written {
		return true
	}
	if w.result != Conflict {
		return false
	}
	found, err := decode(w.found)
	if err != nil || found == nil || found.Token != h.record.Token {
		// The row belongs to another claim, so this claim need not be closed.
		return true
	}
	if found.State != StateOpen {
		return true
	}
	h.version = w.found.Version
	return false
}

// closeLater queues a claim for closeLoop. If the queue is full, the claim stays
// open.
func (s *Claims) closeLater(h *Hold) {
	s.unclosed.Add(1)
	select {
	case s.closeQueue <- h:
	default:
		s.unclosed.Add(-1)
		s.closesDropped.Inc(1)
		s.deps.Log.Warn("claim_left_open", zap.String("request_id", h.record.Request))
	}
}

// Unknown closes the claim of a call that was dispatched and whose outcome is
// unknown. Every repeat is then refused with code ClaimUnknown, for good.
func (h *Hold) Unknown(ctx context.Context) {
	h.close(ctx, StateUnknown, nil)
}
