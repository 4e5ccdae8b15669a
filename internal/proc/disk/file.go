package disk

import (
	"os"

	"github.com/pkg/errors"

	"sassafrasring.dev/sassafrasring/internal/frame"
	"sassafrasring.dev/sassafrasring/pkg/tier"
)

// SaveFile replaces path by the encoded v, with a checksum, and syncs it.
func SaveFile(path string, v any) error {
	p, err := frame.Marshal(v)
	if err != nil {
		return tier.At("encode", path, err)
	}
	return writeSynced(path, appendRecord(nil, p))
}

// LoadFile reads what SaveFile wrote into v; found is false where there is none.
func LoadFile(path string, v any) (found bool, err error) {
	b, err := os.ReadFile(path)
	if os.IsNotExist(err) {
		return false, nil
	}
	if err != nil {
		return false, tier.At("read", path, err)
	}
	n, err := scanRecords(b, func(p []byte) error {
		found = true
		return frame.Unmarshal(p, v)
	})
	if err == nil && (!found || n != len(b)) {
		err = errors.Wrap(tier.ErrCorrupt, "file is cut short")
	}
	return found && err == nil, tier.At("read", path, err)
}
