package logging

import (
	"fmt"
	"os"
	"sync"

	"golang.org/x/sys/unix"
)

// maxLineBytes is the length of the longest line that is written whole; longer lines are truncated. A
// pipe that poll reports as writable accepts this many bytes without blocking.
const maxLineBytes = 4096

// NonBlockingWriter writes lines to a file or a pipe. It drops a line if writing it would block,
// because the reader of the log may stop reading, and no request may wait for that reader. Dropped
// lines are counted, and their number is written before the next line. A NonBlockingWriter is safe for
// concurrent use.
type NonBlockingWriter struct {
	mutex      sync.Mutex
	file       *os.File
	descriptor int32 // of file
	dropped    int   // lines dropped since their number was last written
}

// NewNonBlockingWriter returns a writer to file, which may be a pipe.
func NewNonBlockingWriter(file *os.File) *NonBlockingWriter {
	return &NonBlockingWriter{file: file, descriptor: int32(file.Fd())}
}

// Write writes or drops one line, which must end in a line break. It returns the line's length if the
// line was dropped, and an error only if writing to the file fails.
func (w *NonBlockingWriter) Write(line []byte) (int, error) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if w.dropped > 0 && w.writable() {
		if _, err := fmt.Fprintf(w.file, "event=log_dropped lines=%d level=warn\n", w.dropped); err != nil {
			return 0, err
		}
		w.dropped = 0
	}
	if !w.writable() {
		w.dropped++
		return len(line), nil
	}
	if len(line) > maxLineBytes {
		line = append(line[:maxLineBytes-1:maxLineBytes-1], '\n')
	}
	return w.file.Write(line)
}

// writable reports whether a line can be written without waiting. It returns true if poll fails.
func (w *NonBlockingWriter) writable() bool {
	fds := []unix.PollFd{{Fd: w.descriptor, Events: unix.POLLOUT}}
	for {
		n, err := unix.Poll(fds, 0)
		if err == unix.EINTR {
			continue
		}
		return err != nil || n > 0
	}
}
