package conn

import (
	"sync"

	"sassafrasring.dev/sassafrasring/internal/frame"
)

const (
	// mostQueued is how many bytes may wait for a stream before a message is refused.
	mostQueued = 2*MaxAnswer + 1<<20
	// mostKept is the largest buffer that is kept for later messages, in bytes.
	mostKept = 256 << 10
)

// outbox sends the messages of many goroutines on one stream. One of them
// writes; what the others add meanwhile goes out in its next write.
type outbox struct {
	stream *Stream
	// spawn runs the writing goroutine, so that no sender waits for the stream;
	// if it is nil, the sender that finds nobody writing does so itself.
	spawn func(func())

	mu      sync.Mutex
	idle    sync.Cond
	queue   []byte
	busy    bool
	stopped bool
	closing bool
}

func newOutbox(s *Stream, spawn func(func())) *outbox {
	w := &outbox{stream: s, spawn: spawn, queue: s.takeHead()}
	w.idle.L = &w.mu
	return w
}

// send queues a message; false means that it was not, and will not be sent.
func (w *outbox) send(v any) bool {
	queued, begin := w.add(v)
	switch {
	case !begin:
	case w.spawn != nil:
		w.spawn(w.pump)
	default:
		w.pump()
	}
	return queued
}

// add appends a message to the queue; begin says that the caller must see to the writing.
func (w *outbox) add(v any) (queued, begin bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.stopped || len(w.queue) > mostQueued {
		return false, false
	}
	n := len(w.queue)
	b, err := frame.Append(w.queue, v)
	if err != nil {
		w.queue = w.queue[:n]
		return false, false
	}
	w.queue = b
	begin = !w.busy
	w.busy = true
	return true, begin
}

// pump writes until nothing is queued or the stream breaks.
func (w *outbox) pump() {
	w.mu.Lock()
	defer w.mu.Unlock()
	var spare []byte
	for len(w.queue) > 0 {
		b := w.queue
		w.queue = spare[:0]
		w.mu.Unlock()
		err := w.stream.write(b)
		w.mu.Lock()
		if err != nil {
			w.stopped, w.queue = true, nil
		}
		if spare = nil; cap(b) <= mostKept {
			spare = b
		}
	}
	w.queue = spare[:0]
	w.busy = false
	if w.closing {
		w.stream.CloseSend()
	}
	w.idle.Broadcast()
}

// finish lets what is queued go out, closes the sending side and takes nothing more.
func (w *outbox) finish() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stopped, w.closing = true, true
	if !w.busy {
		w.stream.CloseSend()
	}
}

// end takes nothing more, gives up the stream and waits until nobody writes.
func (w *outbox) end() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stopped = true
	w.stream.Cancel()
	for w.busy {
		w.idle.Wait()
	}
}
