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
	// compressorName is the name by which gRPC selects the compressor.
	compressorName = "limpet-flate"
	// minCompressBytes is the size from which a message is compressed. Smaller
	// messages contain few repetitions and would grow.
	minCompressBytes = 256
	// The first byte of a message gives the format of the rest.
	formatPlain   = 0
	formatDeflate = 1
)

// errUnknownFormat is returned when the first byte of a message is no known format.
var errUnknownFormat = errors.New("unknown format of a compressed message")

func init() {
	encoding.RegisterCompressor(&compressor{})
}

// compressor compresses messages of at least minCompressBytes with DEFLATE, and leaves
// smaller messages uncompressed. It is safe for concurrent use.
type compressor struct {
	writers sync.Pool
	readers sync.Pool
}

var _ encoding.Compressor = (*compressor)(nil)

// Name implements encoding.Compressor.
func (*compressor) Name() string {
	return compressorName
}

// Compress implements encoding.Compressor.
func (c *compressor) Compress(w io.Writer) (io.WriteCloser, error) {
	return &compressWriter{compressor: c, dest: w}, nil
}

// compressWriter buffers a message until Close, when the size of the message is known.
type compressWriter struct {
	compressor *compressor
	dest       io.Writer
	buffer     bytes.Buffer
}

// Write implements io.Writer.
func (cw *compressWriter) Write(b []byte) (int, error) {
	return cw.buffer.Write(b)
}

// Close writes the message to dest.
func (cw *compressWriter) Close() error {
	if cw.buffer.Len() < minCompressBytes {
		_, err := cw.dest.Write(append([]byte{formatPlain}, cw.buffer.Bytes()...))
		return err
	}
	if _, err := cw.dest.Write([]byte{formatDeflate}); err != nil {
		return err
	}
	w, ok := cw.compressor.writers.Get().(*flate.Writer)
	if !ok {
		var err error
		if w, err = flate.NewWriter(nil, flate.DefaultCompression); err != nil {
			return err
		}
	}
	defer cw.compressor.writers.Put(w)
	w.Reset(cw.dest)
	if _, err := w.Write(cw.buffer.Bytes()); err != nil {
		return err
	}
	return w.Close()
}

// Decompress implements encoding.Compressor.
func (c *compressor) Decompress(r io.Reader) (io.Reader, error) {
	var format [1]byte
	if _, err := io.ReadFull(r, format[:]); err != nil {
		return nil, err
	}
	switch format[0] {
	case formatPlain:
		return r, nil
	case formatDeflate:
		return c.newDecompressReader(r)
	}
	return nil, errUnknownFormat
}

// newDecompressReader returns a reader that decompresses a message.
func (c *compressor) newDecompressReader(r io.Reader) (io.Reader, error) {
	resetter, ok := c.readers.Get().(flate.Resetter)
	if !ok {
		return &decompressReader{compressor: c, source: flate.NewReader(r)}, nil
	}
	if err := resetter.Reset(r, nil); err != nil {
		return nil, err
	}
	source, _ := resetter.(io.ReadCloser)
	return &decompressReader{compressor: c, source: source}, nil
}

// decompressReader decompresses a message and returns its flate reader to the pool at the
// end of the message.
type decompressReader struct {
	compressor *compressor
	source     io.ReadCloser
}

// Read implements io.Reader.
func (dr *decompressReader) Read(b []byte) (int, error) {
	if dr.source == nil {
		return 0, io.EOF
	}
	n, err := dr.source.Read(b)
	if errors.Is(err, io.EOF) {
		dr.compressor.readers.Put(dr.source)
		dr.source = nil
	}
	return n, err
}
