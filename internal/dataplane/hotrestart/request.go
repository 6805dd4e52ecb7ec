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
	// socketName is the name of the Unix socket in the private directory.
	socketName = "croftlock.sock"
	// maxSocketPath is the longest socket path, in bytes, that is used directly. It is below the
	// system's limit, also with the suffix that replaceSocket appends.
	maxSocketPath = 99
	// answerTimeout is the maximum time to wait for the other process to accept a connection, send a
	// request or answer it. Its loop may be under full load.
	answerTimeout = time.Second
)

// ErrBusy is returned if the process that serves rejects the handover for now, for example because it
// already has a partner.
var ErrBusy = errors.New("another process of this proxy is being replaced")

// Handoff is the state and the sockets that the old process hands over to the new one, or the state
// that an earlier process stored.
type Handoff struct {
	Snapshot   *proxy.Snapshot
	ListenerFD int // descriptor of the listening socket, owned by the receiver; negative if there is no old process
	// RequestedAt is when the receiver asked for the handoff. It is zero for a stored state.
	RequestedAt time.Time
	DatagramFD  int // descriptor of the socket for datagrams to other proxies, owned by the receiver; negative if there is none
}

// close closes the received descriptors.
func (h *Handoff) close() { closeDescriptors(welcome{Handoff: *h}.descriptors()) }

// RequestHandover requests a handover from the process that serves clients at listen and has its
// private directory at dir. It returns nil values and a nil error if there is no such process. After
// an error the other process may still serve, and may hand over if the request is repeated. now is the
// loop's time in nanoseconds, to which the times in the snapshot are converted.
func RequestHandover(dir, listen string, now int64) (*Partner, *Handoff, error) {
	conn, err := dialServing(dir)
	if conn == nil {
		return nil, nil, err
	}
	requestedAt := time.Now()
	m, err := requestHandoff(conn, listen, now)
	if err != nil {
		conn.Close()
		return nil, nil, err
	}
	m.RequestedAt = requestedAt
	return newPartner(conn, m.protocol), &m.Handoff, nil
}

// dialServing connects to the process that serves and has its private directory at dir. It returns
// nil, nil if there is none.
func dialServing(dir string) (*net.UnixConn, error) {
	path, release := socketPath(dir)
	defer release()
	c, err := net.DialTimeout("unix", path, answerTimeout)
	if errors.Is(err, syscall.ENOENT) || errors.Is(err, syscall.ECONNREFUSED) {
		return nil, nil // no socket, or no process listens on it
	}
	if err != nil {
		return nil, err
	}
	return c.(*net.UnixConn), nil
}

// requestHandoff sends a request for a handover and reads the answer. If the process that serves
// rejects the request, the error matches ErrBusy. now is as in RequestHandover.
func requestHandoff(conn *net.UnixConn, listen string, now int64) (*welcome, error) {
	conn.SetReadDeadline(time.Now().Add(answerTimeout))
	if err := send(conn, handoverRequest{listen: listen, protocol: protocolVersion}); err != nil {
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
		return &m, nil
	case connection:
		closeDescriptors(m.descriptors())
	}
	return nil, fmt.Errorf("the process that serves answered %q with %d sockets", e.Kind, len(fds))
}

// socketPath returns a path to the socket in dir that fits the system's limit for socket paths. If the
// plain path is longer than maxSocketPath, socketPath opens dir and returns a path through that
// descriptor; if dir cannot be opened, it returns the plain path. The caller must call release after
// using path.
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
