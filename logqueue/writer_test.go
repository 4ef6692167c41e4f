package logqueue_test

import (
	"bytes"
	"fmt"
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"hawthornway/logqueue"
)

// blockedWriter is a writer that blocks until unblock is closed.
type blockedWriter struct {
	unblock chan struct{}
	text    bytes.Buffer
}

func (b *blockedWriter) Write(p []byte) (int, error) {
	<-b.unblock
	return b.text.Write(p)
}

func TestLinesAreWrittenInOrder(t *testing.T) {
	var to bytes.Buffer
	w := logqueue.NewWriter(&to)
	var want strings.Builder
	for i := range 1000 {
		fmt.Fprintf(w, "line %d\n", i)
		fmt.Fprintf(&want, "line %d\n", i)
	}
	must.NoError(t, w.Close())
	must.Eq(t, want.String(), to.String())
	must.Eq(t, 0, w.Dropped())
}

func TestBlockedWriterDoesNotBlockLogging(t *testing.T) {
	to := &blockedWriter{unblock: make(chan struct{})}
	w := logqueue.NewWriter(to)
	for i := range 10_000 {
		fmt.Fprintf(w, "line %d\n", i)
	}
	must.Positive(t, w.Dropped())
	close(to.unblock)
	must.NoError(t, w.Close())
	must.StrContains(t, to.text.String(), "lines were dropped")
	_, err := w.Write([]byte("after the end\n"))
	must.NoError(t, err)
}
