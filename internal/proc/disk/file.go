package disk

import (
	"os"

	"github.com/pkg/errors"

	"sassafrasring.dev/sassafrasring/internal/frame"
	"sassafrasring.dev/sassafrasring/pkg/tier"
)

// SaveFile atomically replaces the file at path with the encoded v and a checksum, and syncs it.
func SaveFile(path string, v any) error {
	p, err := frame.Marshal(v)
	if err != nil {
		return tier.At("encode", path, err)
	}
	return replaceFile(path, appendRecord(nil, p))
}

// LoadFile decodes a file written by SaveFile into v. found is false if the file does not exist or cannot be read.
func LoadFile(path string, v any) (found bool, err error) {
	return load(path, func(p []byte) error { return frame.Unmarshal(p, v) })
}

// LoadRecords is LoadFile for a struct with lists of records: those that cannot be decoded are left out and counted.
func LoadRecords(path string, v any) (found bool, dropped int, err error) {
	found, err = load(path, func(p []byte) (err error) {
		dropped, err = frame.UnmarshalRecords(p, v)
		return err
	})
	return found, dropped, err
}

func load(path string, decode func([]byte) error) (found bool, err error) {
	b, err := os.ReadFile(path)
	if os.IsNotExist(err) {
		return false, nil
	}
	if err != nil {
		return false, tier.At("read", path, err)
	}
	n, err := scanRecords(b, func(p []byte) error {
		found = true
		return decode(p)
	})
	if err == nil && (!found || n != len(b)) {
		err = errors.Wrap(tier.ErrCorrupt, "file is truncated")
	}
	return found && err == nil, tier.At("read", path, err)
}
