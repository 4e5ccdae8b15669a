package reqst

import (
	"bytes"
	"sort"
)

// recordBytes is the size of a record in a part of a gathered answer.
const recordBytes = 16

// mergeTop returns the k greatest records of all parts in descending order. Trailing bytes
// shorter than a record are ignored; duplicates are kept.
func mergeTop(parts [][]byte, k int) []byte {
	most := 0
	for _, p := range parts {
		most += len(p) / recordBytes
	}
	k = min(k, most)
	top := make([][]byte, 0, k+1)
	for _, p := range parts {
		for ; len(p) >= recordBytes; p = p[recordBytes:] {
			r := p[:recordBytes]
			if len(top) == k && (k == 0 || bytes.Compare(r, top[k-1]) <= 0) {
				continue
			}
			i := sort.Search(len(top), func(i int) bool { return bytes.Compare(top[i], r) < 0 })
			top = append(top, nil)
			copy(top[i+1:], top[i:])
			top[i] = r
			top = top[:min(len(top), k)]
		}
	}
	out := make([]byte, 0, len(top)*recordBytes)
	for _, r := range top {
		out = append(out, r...)
	}
	return out
}
