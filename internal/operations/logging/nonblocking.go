package logging

import (
	"fmt"
	"os"
	"sync"

	"golang.org/x/sys/unix"
)

// maxLineBytes is the number of bytes that a pipe which is ready for writing accepts without
// blocking. Longer lines are truncated.
const maxLineBytes = 4096

// NonBlockingWriter writes lines to a file or a pipe, and drops lines that would block: the reader
// of the log may stop reading, and no request may wait for it. Dropped lines are counted, and their
// number is reported before the next line that is written. It is safe for concurrent use.
type NonBlockingWriter struct {
	mutex      sync.Mutex
	file       *os.File
	descriptor int32
	dropped    int // lines dropped since the last report
}

// NewNonBlockingWriter returns a writer to file, which may be a pipe.
func NewNonBlockingWriter(file *os.File) *NonBlockingWriter {
	return &NonBlockingWriter{file: file, descriptor: int32(file.Fd())}
}

// Write writes or drops one line. It returns an error only if writing to the file fails.
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
