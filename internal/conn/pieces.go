package conn

import (
	"math/bits"
	"sync"
)

const (
	minPieceBits = 12
	maxPieceBits = 18
)

// pieces holds buffers of bodies that were read, by the power of two that is their size: without it, a process whose
// callers send bodies that it refuses allocates faster than the garbage collector frees while it gets little processor time.
var pieces [maxPieceBits - minPieceBits + 1]sync.Pool

// newPiece returns an empty buffer of a capacity.
func newPiece(size int64) []byte {
	if class, ok := pieceClass(size); ok {
		if p, _ := pieces[class].Get().(*[]byte); p != nil {
			return (*p)[:0]
		}
	}
	return make([]byte, 0, size)
}

// freePiece takes back a buffer that nobody uses any more.
func freePiece(b []byte) {
	if class, ok := pieceClass(int64(cap(b))); ok {
		pieces[class].Put(&b)
	}
}

func pieceClass(size int64) (class int, ok bool) {
	class = bits.Len64(uint64(size)) - 1 - minPieceBits
	return class, size > 0 && size&(size-1) == 0 && class >= 0 && class < len(pieces)
}
