package conn

import (
	"hash/maphash"
	"slices"
)

// maxHistory is the number of requests after which a connection is closed, because its history would
// take more than 4 KiB.
const maxHistory = 1024

// historySeed is the seed of the hashes in all histories.
var historySeed = maphash.MakeSeed()

// idHash is the hash of a request's ID.
type idHash uint32

func hashID(id string) idHash { return idHash(maphash.String(historySeed, id)) }

// history holds the hashes of the IDs of the requests that a connection has carried, up to maxHistory of
// them.
type history struct {
	hashes []idHash
}

// add adds an ID, unless the history is full.
func (h *history) add(id idHash) {
	if !h.full() {
		h.hashes = append(h.hashes, id)
	}
}

// contains reports whether the connection has carried a request with this ID. It is wrong about one in
// millions of IDs that the connection has not carried.
func (h *history) contains(id idHash) bool { return slices.Contains(h.hashes, id) }

func (h *history) full() bool { return len(h.hashes) >= maxHistory }
