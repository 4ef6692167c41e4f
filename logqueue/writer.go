// Package logqueue writes log lines asynchronously, so that logging never blocks.
package logqueue

import (
	"bytes"
	"fmt"
	"io"
	"sync"
	"sync/atomic"
)

// The limits of a Writer.
const (
	// queueLines is the capacity of the queue. At full load, a host logs some
	// hundred lines a second.
	queueLines = 4096
	// batchBytes is the size at which a batch is written.
	batchBytes = 32 << 10
)

// Writer passes lines on to another writer in a separate goroutine. If the queue
// is full, lines are dropped and their number is logged instead.
type Writer struct {
	dst          io.Writer
	queue        chan []byte
	dropped      atomic.Int64
	totalDropped atomic.Int64
	mu           sync.RWMutex
	closed       bool
	done         chan struct{}
}

// NewWriter returns a new Writer to dst. It must be closed.
func NewWriter(dst io.Writer) *Writer {
	w := &Writer{dst: dst, queue: make(chan []byte, queueLines), done: make(chan struct{})}
	go w.run()
	return w
}

// Write queues one line. It never blocks or fails.
func (w *Writer) Write(line []byte) (int, error) {
	w.mu.RLock()
	defer w.mu.RUnlock()
	if w.closed {
		return len(line), nil
	}
	select {
	case w.queue <- bytes.Clone(line):
	default:
		w.dropped.Add(1)
		w.totalDropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the total number of dropped lines.
func (w *Writer) Dropped() int64 { return w.totalDropped.Load() }

// Close writes the queued lines and stops the Writer.
func (w *Writer) Close() error {
	w.mu.Lock()
	if !w.closed {
		w.closed = true
		close(w.queue)
	}
	w.mu.Unlock()
	<-w.done
	return nil
}

func (w *Writer) run() {
	defer close(w.done)
	var batch bytes.Buffer
	for line := range w.queue {
		batch.Reset()
		batch.Write(line)
		w.appendQueued(&batch)
		if count := w.dropped.Swap(0); count > 0 {
			fmt.Fprintf(&batch, "{\"level\":\"WARN\",\"msg\":\"log: lines were dropped\",\"lines\":%d}\n", count)
		}
		_, _ = w.dst.Write(batch.Bytes()) // there is nowhere to report the error
	}
}

// appendQueued appends queued lines to the batch, without waiting for more.
func (w *Writer) appendQueued(batch *bytes.Buffer) {
	for batch.Len() < batchBytes {
		select {
		case line, ok := <-w.queue:
			if !ok {
				return
			}
			batch.Write(line)
		default:
			return
		}
	}
}
