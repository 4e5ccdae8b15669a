package frame

import (
	"reflect"
	"strconv"
	"strings"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"
)

// UnmarshalRecords decodes CBOR into v, a pointer to a struct with integer keys. A list of structs in it may contain
// elements that cannot be decoded: they are left out and counted, and the others are kept.
func UnmarshalRecords(b []byte, v any) (dropped int, err error) {
	if err = Unmarshal(b, v); err == nil {
		return 0, nil
	}
	var fields map[uint64]cbor.RawMessage
	if decoder.Unmarshal(b, &fields) != nil {
		return 0, err
	}
	s := reflect.ValueOf(v).Elem()
	s.SetZero()
	for i := range s.NumField() {
		f := s.Type().Field(i)
		key, tagged := integerKey(f)
		if !tagged || f.Type.Kind() != reflect.Slice || f.Type.Elem().Kind() != reflect.Struct {
			continue
		}
		raw, given := fields[key]
		if !given {
			continue
		}
		list, n := readable(raw, f.Type.Elem())
		dropped += n
		if fields[key], err = Marshal(list); err != nil {
			return 0, err
		}
	}
	if dropped == 0 {
		return 0, errors.New("a field outside of the lists of records cannot be decoded")
	}
	clean, err := Marshal(fields)
	if err != nil {
		return 0, err
	}
	return dropped, Unmarshal(clean, v)
}

// readable returns the elements of an encoded list that can be decoded into type t, and the number of the others. A list
// that cannot be split counts as one.
func readable(list cbor.RawMessage, t reflect.Type) (out []cbor.RawMessage, dropped int) {
	var all []cbor.RawMessage
	if decoder.Unmarshal(list, &all) != nil {
		return nil, 1
	}
	for _, e := range all {
		if decoder.Unmarshal(e, reflect.New(t).Interface()) != nil {
			dropped++
			continue
		}
		out = append(out, e)
	}
	return out, dropped
}

// integerKey returns the key of a field with the tag "N,keyasint".
func integerKey(f reflect.StructField) (key uint64, ok bool) {
	name, options, _ := strings.Cut(f.Tag.Get("cbor"), ",")
	key, err := strconv.ParseUint(name, 10, 64)
	return key, err == nil && strings.Contains(options, "keyasint")
}
