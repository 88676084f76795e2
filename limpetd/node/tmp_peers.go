package node
import ("context";"errors"
"github.com/limpetlb/limpetlb/limpetd/event"
"github.com/limpetlb/limpetlb/limpetd/member"
"github.com/limpetlb/limpetlb/limpetd/order")
type peers struct{}
var errNo = errors.New("no peers")
func (peers) Tell(string, member.Message) error { return errNo }
func (peers) Exchange(context.Context, string, member.Message) (member.Message, error) { return member.Message{}, errNo }
func (peers) Document(context.Context, string) (member.Copy, error) { return member.Copy{}, errNo }
func (peers) Events(context.Context, string, event.Filter) ([]event.Event, error) { return nil, errNo }
func (peers) Sent(context.Context, string, string) (order.SentAnswer, error) { return order.SentAnswer{}, errNo }
func (peers) Drain(context.Context, string) error { return errNo }
