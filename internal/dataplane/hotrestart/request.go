package hotrestart

import (
	"errors"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"syscall"
	"time"

	"croftlock/internal/dataplane/proxy"
)

const (
	// socketName is the socket's name in the private folder.
	socketName = "croftlock.sock"
	// maxSocketPath is a length, in bytes, that the system's limit on paths of sockets surely allows.
	maxSocketPath = 99
	// answerTimeout is how long the other process may take to answer: its loop may be at its busiest.
	answerTimeout = time.Second
)

// ErrBusy says that the process that serves does not hand over now: it has a partner already, for one.
var ErrBusy = errors.New("another process of this proxy is being replaced")

// Handoff is what an old process hands over.
type Handoff struct {
	Snapshot   *proxy.Snapshot
	ListenerFD int // descriptors, the receiver's to close
	DatagramFD int // under 0: none
}

func (h *Handoff) close() { closeDescriptors(welcome{*h}.descriptors()) }

// RequestHandover requests a handover of the process that serves at listen, and has its private folder at dir. It gives nil without an
// error where there is none. After an error there may be one that can hand over when the request is repeated. now is the loop's time.
func RequestHandover(dir, listen string, now int64) (*Partner, *Handoff, error) {
	conn, err := dialServing(dir)
	if conn == nil {
		return nil, nil, err
	}
	h, err := requestHandoff(conn, listen, now)
	if err != nil {
		conn.Close()
		return nil, nil, err
	}
	return newPartner(conn), h, nil
}

// dialServing connects to the process that serves; nil without an error: there is none.
func dialServing(dir string) (*net.UnixConn, error) {
	path, release := socketPath(dir)
	defer release()
	c, err := net.DialTimeout("unix", path, answerTimeout)
	if errors.Is(err, syscall.ENOENT) || errors.Is(err, syscall.ECONNREFUSED) {
		return nil, nil // no file, or nobody behind it any more
	}
	if err != nil {
		return nil, err
	}
	return c.(*net.UnixConn), nil
}

// requestHandoff requests the handover and reads the answer.
func requestHandoff(conn *net.UnixConn, listen string, now int64) (*Handoff, error) {
	conn.SetReadDeadline(time.Now().Add(answerTimeout))
	if err := send(conn, handoverRequest{listen: listen}); err != nil {
		return nil, err
	}
	e, fds, err := receive(conn)
	if err != nil {
		return nil, err
	}
	switch m := decode(e, fds).(type) {
	case rejection:
		return nil, fmt.Errorf("%w: %s", ErrBusy, m.reason)
	case welcome:
		m.Snapshot.Rebase(now, true)
		if err := m.Snapshot.Check(now); err != nil {
			m.close()
			return nil, err
		}
		conn.SetReadDeadline(time.Time{})
		return &m.Handoff, nil
	case connection:
		closeDescriptors(m.descriptors())
	}
	return nil, fmt.Errorf("the process that serves answered %q with %d sockets", e.Kind, len(fds))
}

// socketPath gives a path to the socket that fits the system's limit on such paths; release is called after its use.
func socketPath(dir string) (path string, release func()) {
	path = filepath.Join(dir, socketName)
	if len(path) <= maxSocketPath {
		return path, func() {}
	}
	f, err := os.Open(dir)
	if err != nil {
		return path, func() {}
	}
	return fmt.Sprintf("/proc/self/fd/%d/%s", f.Fd(), socketName), func() { f.Close() }
}
