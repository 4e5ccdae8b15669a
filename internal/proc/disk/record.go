// Package disk stores a control replica's durable state in one folder: the replica's identity, a checksummed log of
// hard states and entries, and a snapshot. Data counts as durable only after a sync. After the first failed write or
// sync the folder rejects all further writes.
package disk

import (
	"bytes"
	"encoding/binary"
	"hash/crc32"

	"github.com/pkg/errors"

	"sassafrasring.dev/sassafrasring/pkg/tier"
)

const (
	recordHeaderBytes = 12
	maxRecordBytes    = 256 << 20
	sectorBytes       = 512
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// appendRecord appends a record to buf: payload length, CRC of the length bytes, CRC of the payload (4 bytes each,
// little-endian, CRC-32C), then the payload.
func appendRecord(buf, payload []byte) []byte {
	var h [recordHeaderBytes]byte
	binary.LittleEndian.PutUint32(h[0:], uint32(len(payload)))
	binary.LittleEndian.PutUint32(h[4:], crc32.Checksum(h[:4], castagnoli))
	binary.LittleEndian.PutUint32(h[8:], crc32.Checksum(payload, castagnoli))
	buf = append(buf, h[:]...)
	return append(buf, payload...)
}

// scanRecords calls f with the payload of each complete record in b and returns the length of the valid prefix. A
// torn last record (truncated, or ending in an unwritten sector of zeros) ends the scan without an error. Any other
// damage returns ErrCorrupt, so that entries are never dropped silently.
func scanRecords(b []byte, f func(payload []byte) error) (int, error) {
	at := 0
	for at < len(b) {
		p, torn, err := nextRecord(b[at:])
		if err != nil {
			return at, errors.Wrapf(err, "record at byte %d", at)
		}
		if torn {
			return at, nil
		}
		if err := f(p); err != nil {
			return at, errors.Wrapf(err, "record at byte %d", at)
		}
		at += recordHeaderBytes + len(p)
	}
	return at, nil
}

func nextRecord(b []byte) (payload []byte, torn bool, err error) {
	if len(b) < recordHeaderBytes {
		return nil, true, nil
	}
	n := binary.LittleEndian.Uint32(b[0:])
	if crc32.Checksum(b[:4], castagnoli) != binary.LittleEndian.Uint32(b[4:]) || n > maxRecordBytes {
		return nil, allZero(b), errUnlessZero(b, "header checksum")
	}
	if len(b) < recordHeaderBytes+int(n) {
		return nil, true, nil
	}
	payload = b[recordHeaderBytes : recordHeaderBytes+int(n)]
	if crc32.Checksum(payload, castagnoli) == binary.LittleEndian.Uint32(b[8:]) {
		return payload, false, nil
	}
	last := len(b) == recordHeaderBytes+int(n)
	tail := payload[max(0, len(payload)-sectorBytes):]
	if last && allZero(tail) {
		return nil, true, nil
	}
	return nil, false, errors.Wrap(tier.ErrCorrupt, "payload checksum")
}

func allZero(b []byte) bool { return len(bytes.Trim(b, "\x00")) == 0 }

func errUnlessZero(b []byte, what string) error {
	if allZero(b) {
		return nil
	}
	return errors.Wrap(tier.ErrCorrupt, what)
}
