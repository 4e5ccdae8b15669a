package conn

import (
	"io"

	"github.com/pkg/errors"
)

const (
	// freeBodyBytes is the part of each body that is not reserved in the budget: as much as the
	// goroutine and the buffers of its exchange take, so that small answers pass while the budget is
	// exhausted by large ones.
	freeBodyBytes = 4 << 10
	// firstBodyBytes is the buffer for a body of unknown length.
	firstBodyBytes = 1 << 10
	// maxPieceBytes is the maximum size of one piece of a body.
	maxPieceBytes = 256 << 10
)

// ErrBodyTooLong means that a body is longer than its limit.
var ErrBodyTooLong = errors.New("body is too long")

// ReadBody reads a whole body of at most limit bytes. length is the stated length, or negative if
// there is none; memory is reserved and allocated only as the bytes arrive. After an error nothing
// is reserved.
func ReadBody(r io.Reader, length, limit int64, b *Budget) ([]byte, Reservation, error) {
	body := bodyReader{limit: limit, res: Reservation{budget: b}}
	return body.readAll(r, length)
}

// ReadCallerBody reads a caller's body like ReadBody. What it takes is also charged to the caller's connection, which may be
// nil.
func ReadCallerBody(c *Caller, r io.Reader, length, limit int64, b *Budget) ([]byte, Reservation, error) {
	body := bodyReader{limit: limit, res: Reservation{budget: b, caller: c}}
	return body.readAll(r, length)
}

// bodyReader collects a body in pieces, so that a long one is copied once.
type bodyReader struct {
	limit int64
	// check, if not nil, is called after each read with the number of bytes so far.
	check func(n int64) error

	full [][]byte
	last []byte
	size int64
	res  Reservation
}

func (b *bodyReader) readAll(r io.Reader, length int64) ([]byte, Reservation, error) {
	if err := b.read(r, length); err != nil {
		b.free()
		b.res.Release()
		return nil, Reservation{}, err
	}
	if len(b.full) == 0 {
		return b.last, b.res, nil
	}
	whole := make([]byte, 0, b.size)
	for _, piece := range b.full {
		whole = append(whole, piece...)
	}
	whole = append(whole, b.last...)
	b.free()
	return whole, b.res, nil
}

// free gives the pieces back.
func (b *bodyReader) free() {
	for _, piece := range b.full {
		freePiece(piece)
	}
	freePiece(b.last)
	b.full, b.last = nil, nil
}

func (b *bodyReader) read(r io.Reader, length int64) error {
	if length > b.limit {
		return ErrBodyTooLong
	}
	first := int64(firstBodyBytes)
	if length >= 0 {
		first = min(length, freeBodyBytes)
	}
	if err := b.res.charge(first); err != nil {
		return err
	}
	b.last = newPiece(first)
	for b.size != length {
		if len(b.last) == cap(b.last) {
			if err := b.grow(length); err != nil {
				return err
			}
		}
		n, err := r.Read(b.last[len(b.last):cap(b.last)])
		b.last = b.last[:len(b.last)+n]
		b.size += int64(n)
		if b.size > b.limit {
			return ErrBodyTooLong
		}
		if b.check != nil {
			if err := b.check(b.size); err != nil {
				return err
			}
		}
		switch {
		case errors.Is(err, io.EOF) && b.size < length:
			return io.ErrUnexpectedEOF
		case errors.Is(err, io.EOF):
			return nil
		case err != nil:
			return err
		}
	}
	return nil
}

// grow adds a piece as long as all before it, within bounds, and reserves what exceeds freeBodyBytes.
func (b *bodyReader) grow(length int64) error {
	piece := min(max(b.size, firstBodyBytes), maxPieceBytes, b.limit+1-b.size)
	if length >= 0 {
		piece = min(piece, length-b.size)
	}
	if err := b.res.charge(piece); err != nil {
		return err
	}
	if err := b.res.grow(b.size + piece - freeBodyBytes - b.res.n); err != nil {
		return err
	}
	b.full = append(b.full, b.last)
	b.last = newPiece(piece)
	return nil
}
