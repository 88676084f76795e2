package peer

import (
	"bytes"
	"compress/flate"
	"errors"
	"io"
	"sync"

	"google.golang.org/grpc/encoding"
)

const (
	// packing names the compression of messages between daemons.
	packing = "limpet-flate"
	// packBytes is the size from which a message is compressed. Smaller ones
	// hold few repetitions and would grow.
	packBytes = 256
	// The first byte of a message tells its form.
	formPlain  = 0
	formPacked = 1
)

// errForm tells that the first byte of a message names no form.
var errForm = errors.New("unknown form of a message")

func init() {
	encoding.RegisterCompressor(&packer{})
}

// packer compresses messages of packBytes and more, and leaves others as they
// are. It is safe for concurrent use.
type packer struct {
	writers sync.Pool
	readers sync.Pool
}

var _ encoding.Compressor = (*packer)(nil)

// Name implements encoding.Compressor.
func (*packer) Name() string {
	return packing
}

// Compress implements encoding.Compressor.
func (p *packer) Compress(w io.Writer) (io.WriteCloser, error) {
	return &packed{packer: p, to: w}, nil
}

// packed gathers a message until its size is known.
type packed struct {
	packer *packer
	to     io.Writer
	buffer bytes.Buffer
}

// Write implements io.Writer.
func (p *packed) Write(b []byte) (int, error) {
	return p.buffer.Write(b)
}

// Close writes the message.
func (p *packed) Close() error {
	if p.buffer.Len() < packBytes {
		_, err := p.to.Write(append([]byte{formPlain}, p.buffer.Bytes()...))
		return err
	}
	if _, err := p.to.Write([]byte{formPacked}); err != nil {
		return err
	}
	w, ok := p.packer.writers.Get().(*flate.Writer)
	if !ok {
		var err error
		if w, err = flate.NewWriter(nil, flate.DefaultCompression); err != nil {
			return err
		}
	}
	defer p.packer.writers.Put(w)
	w.Reset(p.to)
	if _, err := w.Write(p.buffer.Bytes()); err != nil {
		return err
	}
	return w.Close()
}

// Decompress implements encoding.Compressor.
func (p *packer) Decompress(r io.Reader) (io.Reader, error) {
	var form [1]byte
	if _, err := io.ReadFull(r, form[:]); err != nil {
		return nil, err
	}
	switch form[0] {
	case formPlain:
		return r, nil
	case formPacked:
		return p.unpack(r)
	}
	return nil, errForm
}

// unpack returns a reader of a compressed message.
func (p *packer) unpack(r io.Reader) (io.Reader, error) {
	u, ok := p.readers.Get().(flate.Resetter)
	if !ok {
		return &unpacked{packer: p, from: flate.NewReader(r)}, nil
	}
	if err := u.Reset(r, nil); err != nil {
		return nil, err
	}
	from, _ := u.(io.ReadCloser)
	return &unpacked{packer: p, from: from}, nil
}

// unpacked gives its reader back at the end of the message.
type unpacked struct {
	packer *packer
	from   io.ReadCloser
}

// Read implements io.Reader.
func (u *unpacked) Read(b []byte) (int, error) {
	if u.from == nil {
		return 0, io.EOF
	}
	n, err := u.from.Read(b)
	if errors.Is(err, io.EOF) {
		u.packer.readers.Put(u.from)
		u.from = nil
	}
	return n, err
}
