package stand

import (
	"bytes"
	"crypto/sha256"
	"strings"

	"github.com/pkg/errors"

	"sassafrasring.dev/sassafrasring/pkg/tier"
)

const (
	// RecordBytes is the size of a record in the answer of a routed server: 14 bytes of the hash of the request id,
	// one byte for the shard and one for the record's number.
	RecordBytes = 16
	// RecordsPerAnswer is the number of records in the answer of one server.
	RecordsPerAnswer = 3
)

// Record returns a record that identifies its request and its shard.
func Record(id string, shard, n byte) []byte {
	sum := sha256.Sum256([]byte(id))
	r := make([]byte, RecordBytes)
	copy(r, sum[:RecordBytes-2])
	r[RecordBytes-2], r[RecordBytes-1] = shard, n
	return r
}

// Records returns the complete answer of a server, its records in descending order.
func Records(id string, shard byte) []byte {
	var out []byte
	for n := byte(RecordsPerAnswer); n > 0; n-- {
		out = append(out, Record(id, shard, n)...)
	}
	return out
}

// CheckRecords checks the records of an answer to a request and returns the number of distinct shards in them. It
// returns an error if the answer is not made of complete records of this request in descending order.
func CheckRecords(id string, body []byte) (int, error) {
	if len(body)%RecordBytes != 0 {
		return 0, errors.Errorf("%d bytes is not a multiple of the record size", len(body))
	}
	shards := map[byte]bool{}
	for i := 0; i < len(body); i += RecordBytes {
		r := body[i : i+RecordBytes]
		if !bytes.Equal(r, Record(id, r[RecordBytes-2], r[RecordBytes-1])) {
			return 0, errors.WithStack(ErrOtherRequest)
		}
		if i > 0 && bytes.Compare(body[i-RecordBytes:i], r) < 0 {
			return 0, errors.New("records are not in descending order")
		}
		shards[r[RecordBytes-2]] = true
	}
	return len(shards), nil
}

// ErrOtherRequest is returned for an answer with a record that belongs to another request.
var ErrOtherRequest = errors.New("a record belongs to another request")

// WriteAnswer returns the body of a routed server's answer to a write.
func WriteAnswer(server tier.ServerID, id string) string { return id + " at " + string(server) }

// WriteServer returns the server that sent an answer to the write with this id, or "" if body is not an answer to that
// write.
func WriteServer(id string, body []byte) tier.ServerID {
	s, ok := strings.CutPrefix(string(body), id+" at ")
	if !ok {
		return ""
	}
	return tier.ServerID(s)
}
