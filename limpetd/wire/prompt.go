package wire

import (
	"slices"

	"github.com/go-json-experiment/json/jsontext"

	"github.com/limpetlb/limpetlb/limpetd/code"
)

// chatEnd is the end of the prompt of a chat.
const chatEnd = "assistant:"

var errNoPrompt = code.Errorf(code.BadParameter, "prompt: a string or a list of one string is required")

// prompt collects the text that the engine continues, as it is decoded. err is the first invalid part.
type prompt struct {
	text     []byte
	messages int
	err      error
	// role is the role of the message that is read, kept to reuse its memory.
	role []byte
}

// fail keeps the first invalid part. Later text is not needed.
func (p *prompt) fail(err error) {
	if p.err == nil {
		p.err, p.text = err, nil
	}
}

// readMessages reads the messages of a chat: one line "role: content" for each.
func (p *prompt) readMessages(d *decoder) error {
	*p = prompt{text: p.text[:0]}
	return d.list("messages", func(i int) error {
		p.messages++
		if p.err != nil {
			return d.SkipValue()
		}
		return p.readMessage(d, i)
	})
}

// readMessage reads a message. Its content is a string or a list of text parts, and may come before the role.
func (p *prompt) readMessage(d *decoder, i int) error {
	begin, valid := len(p.text), false
	p.role = p.role[:0]
	err := d.object("messages", func(name string) error {
		switch name {
		case "role":
			return p.readRole(d)
		case "content":
			var err error
			p.text, valid, err = d.content(p.text[:begin])
			return err
		}
		return d.SkipValue()
	})
	switch {
	case err != nil:
		return err
	case len(p.role) == 0:
		p.fail(code.Errorf(code.BadParameter, "messages[%d].role: a role is required", i))
	case !valid:
		p.fail(code.Errorf(code.BadParameter, "messages[%d].content: a string or a list of text parts is required", i))
	default:
		p.text = append(slices.Insert(p.text, begin, append(p.role, ": "...)...), '\n')
	}
	return nil
}

// readRole reads the role of a message.
func (p *prompt) readRole(d *decoder) error {
	if d.PeekKind() != '"' {
		d.expect("messages.role", '"')
		return d.SkipValue()
	}
	var err error
	p.role, err = d.text(p.role[:0])
	return err
}

// content appends the text of the content of a message, and reports whether it is a string or a list of text parts.
func (d *decoder) content(dst []byte) (text []byte, valid bool, err error) {
	switch d.PeekKind() {
	case '"':
		dst, err = d.text(dst)
		return dst, true, err
	case 'n':
		return dst, true, d.SkipValue()
	case '[':
	default:
		return dst, false, d.SkipValue()
	}
	valid = true
	err = d.list("content", func(int) error {
		if !valid || d.PeekKind() != '{' {
			valid = false
			return d.SkipValue()
		}
		isText, begin := false, len(dst)
		err := d.object("content", func(name string) error {
			switch {
			case name == "type" && d.PeekKind() == '"':
				var err error
				isText, err = d.equals("text")
				return err
			case name == "text" && d.PeekKind() == '"':
				dst, err = d.text(dst[:begin])
				return err
			case name == "type" || name == "text":
				valid = valid && d.PeekKind() == 'n'
			}
			return d.SkipValue()
		})
		valid = valid && isText
		return err
	})
	return dst, valid, err
}

// readPrompt reads the prompt of a completion, which is a string or a list of exactly one string.
func (p *prompt) readPrompt(d *decoder) error {
	*p = prompt{text: p.text[:0]}
	if d.PeekKind() == '"' {
		var err error
		p.text, err = d.text(p.text)
		return err
	}
	if d.PeekKind() != '[' {
		p.fail(errNoPrompt)
		return d.SkipValue()
	}
	texts := 0
	err := d.list("prompt", func(int) error {
		var err error
		switch texts++; {
		case texts > 1 || p.err != nil:
			p.fail(errNoPrompt)
		case d.PeekKind() == '"':
			p.text, err = d.text(p.text)
			return err
		case d.PeekKind() != 'n':
			p.fail(errNoPrompt)
		}
		return d.SkipValue()
	})
	if texts != 1 {
		p.fail(errNoPrompt)
	}
	return err
}

// isSet reads a value, and sets dst to whether it is another one than null, an empty list and an empty string.
func (d *decoder) isSet(dst *bool) error {
	raw, err := d.ReadValue()
	*dst = !isEmpty(raw)
	return err
}

func isEmpty(raw jsontext.Value) bool {
	switch string(raw) {
	case "", "null", "[]", `""`:
		return true
	}
	return false
}
