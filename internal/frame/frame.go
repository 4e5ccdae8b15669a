// Package frame encodes and decodes the CBOR frames of the links between nodes. A frame
// is a 4-byte length, an 8-byte xxhash64 of the payload, both little-endian, and the
// payload.
package frame

import (
	"encoding/binary"
	"io"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"
)

const (
	headerBytes = 12
	// MaxBytes is the maximum size of a frame's payload.
	MaxBytes = 64 << 20
)

// Errors returned by Read.
var (
	// ErrTooLarge means that a frame's length exceeds MaxBytes.
	ErrTooLarge = errors.New("frame too large")
	// ErrChecksum means that a frame's payload does not match its checksum.
	ErrChecksum = errors.New("frame checksum mismatch")
)

var decoder = mustDecoder()

func mustDecoder() cbor.DecMode {
	// Text that is not UTF-8 is kept: one such text must not cost the records next to it.
	m, err := cbor.DecOptions{MaxArrayElements: 1 << 20, MaxMapPairs: 1 << 20, UTF8: cbor.UTF8DecodeInvalid}.DecMode()
	if err != nil {
		panic(err)
	}
	return m
}

// Marshal encodes v as CBOR.
func Marshal(v any) ([]byte, error) { return cbor.Marshal(v) }

// Unmarshal decodes CBOR into v. It ignores unknown fields, so that nodes can read the
// messages of newer nodes during a rolling upgrade.
func Unmarshal(b []byte, v any) error { return decoder.Unmarshal(b, v) }

// Append encodes v as a frame and appends it to buf.
func Append(buf []byte, v any) ([]byte, error) {
	p, err := Marshal(v)
	if err != nil {
		return buf, errors.Wrap(err, "encode frame")
	}
	buf = binary.LittleEndian.AppendUint32(buf, uint32(len(p)))
	buf = binary.LittleEndian.AppendUint64(buf, xxhash.Sum64(p))
	return append(buf, p...), nil
}

// Read reads one frame into v. It returns io.EOF only if the input ends before a frame.
func Read(r io.Reader, v any) error {
	return ReadWithin(r, v, func(int64) error { return nil })
}

// ReadWithin is Read that calls reserve before it makes room for more bytes, and ends with its error.
func ReadWithin(r io.Reader, v any, reserve func(bytes int64) error) error {
	var h [headerBytes]byte
	if _, err := io.ReadFull(r, h[:]); err != nil {
		return err
	}
	n := binary.LittleEndian.Uint32(h[:4])
	if n > MaxBytes {
		return ErrTooLarge
	}
	p, err := readN(r, int(n), reserve)
	if err != nil {
		return err
	}
	if xxhash.Sum64(p) != binary.LittleEndian.Uint64(h[4:]) {
		return ErrChecksum
	}
	return errors.Wrap(Unmarshal(p, v), "decode frame")
}

// readN reads n bytes. It grows the buffer as they arrive, so that a wrong length in the
// header allocates only memory in proportion to the bytes received.
func readN(r io.Reader, n int, reserve func(bytes int64) error) ([]byte, error) {
	const chunk = 64 << 10
	p := make([]byte, 0, min(n, chunk))
	for len(p) < n {
		at := len(p)
		if err := reserve(int64(min(chunk, n-at))); err != nil {
			return nil, err
		}
		p = append(p, make([]byte, min(chunk, n-at))...)
		if _, err := io.ReadFull(r, p[at:]); err != nil {
			if err == io.EOF {
				err = io.ErrUnexpectedEOF
			}
			return nil, err
		}
	}
	return p, nil
}
