// Package jsonc reads JSON with comments, to a limited depth: the parser is recursive, and a document of a megabyte of
// brackets would end the process by a stack overflow.
package jsonc

import (
	"bytes"

	"github.com/pkg/errors"
	"github.com/tailscale/hujson"
)

// MaxDepth is the maximum depth of nested objects and lists.
const MaxDepth = 100

// ErrTooDeep means that a document is nested more deeply than MaxDepth.
var ErrTooDeep = errors.Errorf("objects and lists are nested more than %d deep", MaxDepth)

// Parse parses a document and keeps its comments and positions.
func Parse(doc []byte) (hujson.Value, error) {
	if depth(doc) > MaxDepth {
		return hujson.Value{}, ErrTooDeep
	}
	return hujson.Parse(doc)
}

// Standardize returns a document as plain JSON. It does not change doc.
func Standardize(doc []byte) ([]byte, error) {
	if depth(doc) > MaxDepth {
		return nil, ErrTooDeep
	}
	plain, err := hujson.Standardize(bytes.Clone(doc))
	if err != nil {
		return nil, err
	}
	return plain, nil
}

// depth returns the greatest number of brackets and braces that are open at once, outside of strings and comments.
func depth(doc []byte) (deepest int) {
	open := 0
	for i := 0; i < len(doc); i++ {
		switch doc[i] {
		case '[', '{':
			open++
			deepest = max(deepest, open)
		case ']', '}':
			open--
		case '"':
			i = endOfString(doc, i)
		case '/':
			i = endOfComment(doc, i)
		}
	}
	return deepest
}

// endOfString returns the position of the quote that ends the string at i.
func endOfString(doc []byte, i int) int {
	for i++; i < len(doc) && doc[i] != '"'; i++ {
		if doc[i] == '\\' {
			i++
		}
	}
	return i
}

// endOfComment returns the position of the last byte of the comment at i, or i if there is none.
func endOfComment(doc []byte, i int) int {
	end := ""
	switch rest := doc[i:]; {
	case bytes.HasPrefix(rest, []byte("//")):
		end = "\n"
	case bytes.HasPrefix(rest, []byte("/*")):
		end = "*/"
	default:
		return i
	}
	n := bytes.Index(doc[i+2:], []byte(end))
	if n < 0 {
		return len(doc)
	}
	return i + 2 + n + len(end) - 1
}
