package conn

import (
	"bufio"
	"io"
)

const readBufferBytes = 4 << 10

// countingReader is a buffered reader that counts the bytes read.
type countingReader struct {
	r     io.Reader
	b     *bufio.Reader
	count uint64
}

// Read implements io.Reader.
func (c *countingReader) Read(p []byte) (int, error) {
	if c.b == nil {
		c.b = bufio.NewReaderSize(c.r, readBufferBytes)
	}
	n, err := c.b.Read(p)
	c.count += uint64(n)
	return n, err
}
