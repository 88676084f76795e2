package peer

import (
	"encoding/hex"
	"time"

	"github.com/limpetlb/limpetlb/limpetd/code"
	"github.com/limpetlb/limpetlb/limpetd/engine"
	"github.com/limpetlb/limpetlb/limpetd/envdoc"
	"github.com/limpetlb/limpetlb/limpetd/event"
	"github.com/limpetlb/limpetlb/limpetd/member"
	"github.com/limpetlb/limpetlb/limpetd/peer/peerpb"
	"github.com/limpetlb/limpetlb/limpetd/store"
)

// encodeMessage converts m to its protobuf form, without a stamp if stamp is zero.
func encodeMessage(m member.Message, stamp event.Timestamp) *peerpb.Message {
	p := &peerpb.Message{View: m.ViewHash, Want: m.WantList}
	if stamp.Wall != 0 {
		p.Stamp = encodeStamp(stamp)
	}
	for _, d := range m.Daemons {
		p.Daemons = append(p.Daemons, encodeDaemon(d))
	}
	for _, e := range m.Entries {
		p.Entries = append(p.Entries, &peerpb.Entry{Vm: encodeVM(e.VM), Gone: e.Gone})
	}
	for _, a := range m.DrainNotices {
		p.Advice = append(p.Advice, &peerpb.Advice{Vm: a.VM, Leaving: a.Leaving, At: a.At})
	}
	for _, l := range m.EngineReports {
		p.Loads = append(p.Loads, encodeLoad(l))
	}
	for _, d := range m.Demand {
		p.Demand = append(p.Demand, &peerpb.Demand{
			Model: d.Model, Adapter: d.Adapter, PerSecond: float32(d.PerSecond),
			TokensPerSecond: float32(d.TokensPerSecond), Queued: int32(d.Queued),
		})
	}
	for _, u := range m.Usage {
		p.Use = append(p.Use, &peerpb.Use{Caller: u.Caller, PerSecond: float32(u.PerSecond)})
	}
	return p
}

// decodeMessage converts a received message from its protobuf form.
func decodeMessage(p *peerpb.Message) member.Message {
	m := member.Message{ViewHash: p.GetView(), WantList: p.GetWant()}
	for _, d := range p.GetDaemons() {
		m.Daemons = append(m.Daemons, decodeDaemon(d))
	}
	for _, e := range p.GetEntries() {
		m.Entries = append(m.Entries, member.Entry{VM: decodeVM(e.GetVm()), Gone: e.GetGone()})
	}
	for _, a := range p.GetAdvice() {
		m.DrainNotices = append(m.DrainNotices, member.DrainNotice{VM: a.GetVm(), Leaving: a.GetLeaving(), At: a.GetAt()})
	}
	for _, l := range p.GetLoads() {
		m.EngineReports = append(m.EngineReports, decodeLoad(l))
	}
	for _, d := range p.GetDemand() {
		m.Demand = append(m.Demand, member.ModelDemand{
			Model: d.GetModel(), Adapter: d.GetAdapter(), PerSecond: float64(d.GetPerSecond()),
			TokensPerSecond: float64(d.GetTokensPerSecond()), Queued: int(d.GetQueued()),
		})
	}
	for _, u := range p.GetUse() {
		m.Usage = append(m.Usage, member.CallerUsage{Caller: u.GetCaller(), PerSecond: float64(u.GetPerSecond())})
	}
	return m
}

// encodeDaemon converts the state of a daemon to its protobuf form. The digest is sent
// as bytes; a digest that is not hexadecimal is omitted.
func encodeDaemon(d member.Daemon) *peerpb.Daemon {
	digest, err := hex.DecodeString(d.Digest)
	if err != nil {
		digest = nil
	}
	return &peerpb.Daemon{
		Vm: d.VM, Instance: d.Instance, Sequence: d.Sequence, Started: d.Started,
		DataCentre: d.DataCentre, Region: d.Region, Address: d.Address,
		Revision: d.Revision, Digest: digest, Level: int32(d.Level), Refused: int32(d.Refused),
		Leaving: d.Leaving, Ready: d.Ready, Suspect: d.Suspect,
	}
}

func decodeDaemon(p *peerpb.Daemon) member.Daemon {
	return member.Daemon{
		VM: p.GetVm(), Instance: p.GetInstance(), Sequence: p.GetSequence(), Started: p.GetStarted(),
		DataCentre: p.GetDataCentre(), Region: p.GetRegion(), Address: p.GetAddress(),
		Revision: p.GetRevision(), Digest: hex.EncodeToString(p.GetDigest()), Level: int(p.GetLevel()),
		Refused: code.Code(p.GetRefused()), Leaving: p.GetLeaving(), Ready: p.GetReady(), Suspect: p.GetSuspect(),
	}
}

func encodeVM(v store.VM) *peerpb.VM {
	return &peerpb.VM{
		Id: v.ID, Kind: string(v.Kind), DataCentre: v.DataCentre, Region: v.Region, Address: v.Address,
		State: string(v.State), Pool: v.Pool, Fencing: string(v.Fencing), MemoryMb: v.MemoryMB,
		Accelerators: int32(v.Accelerators),
	}
}

func decodeVM(p *peerpb.VM) store.VM {
	return store.VM{
		ID: p.GetId(), Kind: store.Kind(p.GetKind()), DataCentre: p.GetDataCentre(), Region: p.GetRegion(),
		Address: p.GetAddress(), State: store.State(p.GetState()), Pool: p.GetPool(),
		Fencing: store.Fencing(p.GetFencing()), MemoryMB: p.GetMemoryMb(), Accelerators: int(p.GetAccelerators()),
	}
}

// encodeLoad converts an engine's report to its protobuf form. Unless l.Whole is set,
// the seldom-changing fields are omitted.
func encodeLoad(l member.EngineReport) *peerpb.Load {
	r := l.Report
	p := &peerpb.Load{
		Vm: r.VM, Hash: l.Hash, Sequence: r.Sequence, At: r.MeasuredAt.UnixMilli(), UsedMb: r.UsedMB,
		Running: int32(r.Running), Waiting: int32(r.Waiting), WaitingTokens: int32(r.WaitingTokens),
		TokensPerSecond: float32(r.TokensPerSecond), PromptTokensPerSecond: float32(r.PromptTokensPerSecond),
		Leaving: r.Leaving,
	}
	if !l.Full {
		return p
	}
	p.Fixed = &peerpb.Fixed{
		Instance: r.Instance, MemoryMb: r.MemoryMB, BatchLimit: int32(r.BatchLimit), Role: string(r.Role), Fence: r.Fence,
	}
	for _, s := range r.Slots {
		p.Fixed.Slots = append(p.Fixed.Slots, &peerpb.Slot{Model: s.Model, Adapter: s.Adapter, Version: s.Version})
	}
	return p
}

func decodeLoad(p *peerpb.Load) member.EngineReport {
	r := engine.Report{
		VM: p.GetVm(), Sequence: p.GetSequence(), MeasuredAt: time.UnixMilli(p.GetAt()), UsedMB: p.GetUsedMb(),
		Running: int(p.GetRunning()), Waiting: int(p.GetWaiting()), WaitingTokens: int(p.GetWaitingTokens()),
		TokensPerSecond: float64(p.GetTokensPerSecond()), PromptTokensPerSecond: float64(p.GetPromptTokensPerSecond()),
		Leaving: p.GetLeaving(),
	}
	f := p.GetFixed()
	if f == nil {
		return member.EngineReport{Report: r, Hash: p.GetHash()}
	}
	r.Instance, r.MemoryMB, r.BatchLimit = f.GetInstance(), f.GetMemoryMb(), int(f.GetBatchLimit())
	r.Role, r.Fence = engine.Role(f.GetRole()), f.GetFence()
	r.Slots = decodeSlots(f.GetSlots())
	return member.EngineReport{Report: r, Hash: p.GetHash(), Full: true}
}

func encodeSlots(slots []envdoc.Slot) []*peerpb.Slot {
	encoded := make([]*peerpb.Slot, len(slots))
	for i, s := range slots {
		encoded[i] = &peerpb.Slot{Model: s.Model, Adapter: s.Adapter, Version: s.Version}
	}
	return encoded
}

func decodeSlots(encoded []*peerpb.Slot) []envdoc.Slot {
	var slots []envdoc.Slot
	for _, s := range encoded {
		slots = append(slots, envdoc.Slot{Model: s.GetModel(), Adapter: s.GetAdapter(), Version: s.GetVersion()})
	}
	return slots
}

func encodeStamp(s event.Timestamp) *peerpb.Stamp {
	return &peerpb.Stamp{Wall: s.Wall, Logical: s.Logical}
}

func decodeStamp(p *peerpb.Stamp) event.Timestamp {
	return event.Timestamp{Wall: p.GetWall(), Logical: p.GetLogical()}
}

func encodeEvent(e event.Event) *peerpb.Event {
	return &peerpb.Event{
		At: encodeStamp(e.At), Process: e.Process, Kind: string(e.Kind), Request: e.Request,
		Model: e.Model, Vm: e.VM, Code: int32(e.Code), Text: e.Text,
	}
}

func decodeEvent(p *peerpb.Event) event.Event {
	return event.Event{
		At: decodeStamp(p.GetAt()), Process: p.GetProcess(), Kind: event.Kind(p.GetKind()), Request: p.GetRequest(),
		Model: p.GetModel(), VM: p.GetVm(), Code: int(p.GetCode()), Text: p.GetText(),
	}
}

// encodeFilter converts f to its protobuf form, with times in nanoseconds since 1970.
func encodeFilter(f event.Filter) *peerpb.EventsRequest {
	return &peerpb.EventsRequest{
		Request: f.Request, Model: f.Model, Vm: f.VM, Since: encodeTime(f.Since), Until: encodeTime(f.Until),
		Limit: int32(f.Limit),
	}
}

func decodeFilter(p *peerpb.EventsRequest) event.Filter {
	return event.Filter{
		Request: p.GetRequest(), Model: p.GetModel(), VM: p.GetVm(),
		Since: decodeTime(p.GetSince()), Until: decodeTime(p.GetUntil()), Limit: int(p.GetLimit()),
	}
}

// encodeTime returns t in nanoseconds since 1970; 0 for the zero time.
func encodeTime(t time.Time) int64 {
	if t.IsZero() {
		return 0
	}
	return t.UnixNano()
}

// decodeTime converts nanoseconds since 1970 to a time; 0 to the zero time.
func decodeTime(n int64) time.Time {
	if n == 0 {
		return time.Time{}
	}
	return time.Unix(0, n)
}
