package logging

import (
	"fmt"
	"os"
	"sync"

	"golang.org/x/sys/unix"
)

// longestLine is what a pipe takes at once where it takes anything; a longer line is cut.
const longestLine = 4096

// Unblocked writes lines to a file or a pipe, and leaves out those that would have to wait: whoever reads the log may stop reading, and nobody's
// request may wait for that. What was left out is counted, and told with the next line that is taken.
type Unblocked struct {
	mu      sync.Mutex
	to      *os.File
	fd      int32
	dropped int
}

// NewUnblocked writes to a file.
func NewUnblocked(to *os.File) *Unblocked { return &Unblocked{to: to, fd: int32(to.Fd())} }

// Write takes one line. Its error is the file's.
func (u *Unblocked) Write(line []byte) (int, error) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.dropped > 0 && u.ready() {
		if _, err := fmt.Fprintf(u.to, "event=log_dropped lines=%d level=warn\n", u.dropped); err != nil {
			return 0, err
		}
		u.dropped = 0
	}
	if !u.ready() {
		u.dropped++
		return len(line), nil
	}
	if len(line) > longestLine {
		line = append(line[:longestLine-1:longestLine-1], '\n')
	}
	return u.to.Write(line)
}

// ready tells whether a line can be written without waiting. Where the system can't say, it can.
func (u *Unblocked) ready() bool {
	fds := []unix.PollFd{{Fd: u.fd, Events: unix.POLLOUT}}
	for {
		n, err := unix.Poll(fds, 0)
		if err == unix.EINTR {
			continue
		}
		return err != nil || n > 0
	}
}
