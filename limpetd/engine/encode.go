package engine

// EncodeBytes returns the memory in bytes that encoding a text as JSON takes at most, beside the text: the
// buffer of the encoder and its result. Characters that JSON escapes take up to six bytes each.
func EncodeBytes(text string) int64 {
	const (
		copies     = 2
		escaped    = len(`\u003c`)
		firstPrint = 0x20
		// separatorStart is the first byte of the line and paragraph separators, which have three bytes and are escaped.
		separatorStart = 0xe2
	)
	n := int64(0)
	for i := range len(text) {
		switch c := text[i]; {
		case c == '"', c == '\\', c == '\n', c == '\r', c == '\t':
			n += 2
		case c < firstPrint, c == '<', c == '>', c == '&':
			n += int64(escaped)
		case c == separatorStart:
			n += int64(escaped) - 2
		default:
			n++
		}
	}
	return copies * n
}
