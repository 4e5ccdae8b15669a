package conn

import (
	"bufio"
	"io"
)

const readBuffer = 4 << 10

// countReader is a buffered reader that counts what passes.
type countReader struct {
	r io.Reader
	b *bufio.Reader
	n uint64
}

// Read reads from the buffer.
func (c *countReader) Read(p []byte) (int, error) {
	if c.b == nil {
		c.b = bufio.NewReaderSize(c.r, readBuffer)
	}
	n, err := c.b.Read(p)
	c.n += uint64(n)
	return n, err
}
