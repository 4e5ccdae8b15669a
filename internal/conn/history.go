package conn

import "hash/maphash"

// maxHistory is the maximum number of IDs of a history: 4 KiB for each connection.
const maxHistory = 1024

// historySeed is the seed of the hashes in all histories.
var historySeed = maphash.MakeSeed()

// history holds hashes of the IDs of the requests that a connection has carried, up to maxHistory of them.
type history struct {
	hashes []uint32
}

func hashID(id string) uint32 { return uint32(maphash.String(historySeed, id)) }

// add adds an ID, unless the history is full.
func (h *history) add(id string) {
	if !h.full() {
		h.hashes = append(h.hashes, hashID(id))
	}
}

// contains reports whether the connection has carried a request with this ID. It may be wrong about one in millions of IDs that
// it has not carried.
func (h *history) contains(id string) bool {
	want := hashID(id)
	for _, v := range h.hashes {
		if v == want {
			return true
		}
	}
	return false
}

func (h *history) full() bool { return len(h.hashes) >= maxHistory }
