package conn

import (
	"io"
	"slices"
	"sync"
)

// idleStack holds connections that carry no request. The most recently used one is taken first, so
// that surplus connections stay idle and expire.
type idleStack[T io.Closer] struct {
	mu     sync.Mutex
	list   []T
	closed bool
}

// pop returns the most recently used connection for which fits returns true; ok is false if there is
// none. A nil fits accepts each connection.
func (s *idleStack[T]) pop(fits func(T) bool) (c T, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i := len(s.list) - 1; i >= 0; i-- {
		if fits == nil || fits(s.list[i]) {
			c = s.list[i]
			s.list = slices.Delete(s.list, i, i+1)
			return c, true
		}
	}
	return c, false
}

// push adds a connection, or closes it after closeAll(true).
func (s *idleStack[T]) push(c T) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		_ = c.Close()
		return
	}
	s.list = append(s.list, c)
}

// closeExpired closes the connections for which expired returns true.
func (s *idleStack[T]) closeExpired(expired func(T) bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	kept := s.list[:0]
	for _, c := range s.list {
		if expired(c) {
			_ = c.Close()
			continue
		}
		kept = append(kept, c)
	}
	clear(s.list[len(kept):])
	s.list = kept
}

// closeAll closes all connections. If final is set, connections pushed later are closed too.
func (s *idleStack[T]) closeAll(final bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range s.list {
		_ = c.Close()
	}
	s.list = nil
	s.closed = s.closed || final
}

// size returns the number of idle connections.
func (s *idleStack[T]) size() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.list)
}
