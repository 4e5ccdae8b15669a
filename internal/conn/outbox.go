package conn

import (
	"sync"

	"sassafrasring.dev/sassafrasring/internal/frame"
)

const (
	// maxQueuedBytes is how many bytes may be queued for a stream; beyond that, messages are
	// refused.
	maxQueuedBytes = 2*MaxAnswerBytes + 1<<20
	// maxReusedBytes is the size of the largest buffer that is kept for later messages.
	maxReusedBytes = 256 << 10
)

// outbox sends the messages of many goroutines on one stream. One goroutine writes at a time;
// messages added meanwhile are sent by its next write.
type outbox struct {
	stream *Stream
	// spawn starts the writing goroutine, so that no sender waits for the stream. If it is nil, a
	// sender that finds no writer active writes itself.
	spawn func(func())

	mu         sync.Mutex
	writerDone sync.Cond
	queue      []byte
	writing    bool
	stopped    bool
	closing    bool
}

func newOutbox(s *Stream, spawn func(func())) *outbox {
	w := &outbox{stream: s, spawn: spawn, queue: s.takeHead()}
	w.writerDone.L = &w.mu
	return w
}

// send queues a message; it returns false if the message was not queued and will not be sent.
func (w *outbox) send(v any) bool {
	queued, startWriter := w.add(v)
	switch {
	case !startWriter:
	case w.spawn != nil:
		w.spawn(w.writeQueued)
	default:
		w.writeQueued()
	}
	return queued
}

// add appends a message to the queue; startWriter means that the caller must start writing.
func (w *outbox) add(v any) (queued, startWriter bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.stopped || len(w.queue) > maxQueuedBytes {
		return false, false
	}
	n := len(w.queue)
	b, err := frame.Append(w.queue, v)
	if err != nil {
		w.queue = w.queue[:n]
		return false, false
	}
	w.queue = b
	startWriter = !w.writing
	w.writing = true
	return true, startWriter
}

// writeQueued writes until the queue is empty or the stream breaks.
func (w *outbox) writeQueued() {
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
		if spare = nil; cap(b) <= maxReusedBytes {
			spare = b
		}
	}
	w.queue = spare[:0]
	w.writing = false
	if w.closing {
		w.stream.CloseSend()
	}
	w.writerDone.Broadcast()
}

// finish refuses new messages, and closes the sending side after the queued ones have been sent.
func (w *outbox) finish() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stopped, w.closing = true, true
	if !w.writing {
		w.stream.CloseSend()
	}
}

// abort refuses new messages, cancels the stream and waits until no goroutine is writing.
func (w *outbox) abort() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stopped = true
	w.stream.Cancel()
	for w.writing {
		w.writerDone.Wait()
	}
}
