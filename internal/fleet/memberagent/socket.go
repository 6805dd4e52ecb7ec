package memberagent

import (
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"os"
	"path/filepath"
	"time"

	"croftlock/internal/dataplane/netio"
)

const (
	// reportTimeout is how long the event loop may take to make a report and the client to read it, both
	// together, and how long RequestReport may take to connect.
	reportTimeout = 2 * time.Second
	// requestTimeout is how long RequestReport waits for the complete report.
	requestTimeout = 5 * time.Second
	// inUseTimeout is how long ListenUnix waits for another process to accept a connection on the socket.
	inUseTimeout = time.Second
	// socketRetryInterval is the time between two attempts to listen on a socket that is in use.
	socketRetryInterval = 100 * time.Millisecond
)

// SocketInUseError is returned if another process listens on the Unix socket at Path.
type SocketInUseError struct{ Path string }

// Error implements error.
func (e *SocketInUseError) Error() string { return fmt.Sprintf("socket %s is in use", e.Path) }

// serveReports answers each connection to the Unix socket with one report, on a goroutine. The event loop
// makes the report.
func (a *Agent) serveReports(path string) error {
	return ListenUnixOnceFree(a.loop, path, func() bool { return a.closed }, func(l net.Listener) {
		a.reportSocket = l
		go a.acceptReaders(l)
	})
}

// acceptReaders sends a report on each connection until the listener is closed.
func (a *Agent) acceptReaders(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		a.sendReport(c)
	}
}

// sendReport sends a report on a connection and closes it. It sends none if the event loop makes none within
// reportTimeout.
func (a *Agent) sendReport(c net.Conn) {
	defer c.Close()
	reports := make(chan Report, 1)
	a.loop.Post(func() { reports <- a.report() })
	c.SetDeadline(time.Now().Add(reportTimeout))
	select {
	case r := <-reports:
		json.NewEncoder(c).Encode(r)
	case <-time.After(reportTimeout):
	}
}

// ListenUnix listens on a Unix socket for operators, which only its owner may use. It replaces a socket file
// that an ended process has left. It returns a *SocketInUseError if another process listens on the socket.
func ListenUnix(path string) (net.Listener, error) {
	if c, err := net.DialTimeout("unix", path, inUseTimeout); err == nil {
		c.Close()
		return nil, &SocketInUseError{path}
	}
	if err := os.Remove(path); err != nil && !errors.Is(err, os.ErrNotExist) {
		return nil, err
	}
	l, err := net.Listen("unix", path)
	if err != nil {
		return nil, err
	}
	os.Chmod(path, 0o600)
	return l, nil
}

// ListenUnixOnceFree calls use on the loop with the result of ListenUnix, at once if that succeeds. While
// another process listens on the socket, such as the old one of a hot restart that has not left the fleet
// yet, it retries each socketRetryInterval until stopped reports true. It returns an error if the socket
// can't be used for another reason; in a retry it only logs that. It must be called on the loop.
func ListenUnixOnceFree(loop *netio.Loop, path string, stopped func() bool, use func(net.Listener)) error {
	inUse, err := listenUnlessInUse(path, use)
	if !inUse {
		return err
	}
	slog.Info("socket_in_use", "socket", path)
	var retry func()
	retry = func() {
		if stopped() {
			return
		}
		inUse, err := listenUnlessInUse(path, use)
		if inUse {
			loop.After(socketRetryInterval, retry)
		} else if err != nil {
			slog.Warn("socket_off", "socket", path, "reason", err)
		}
	}
	loop.After(socketRetryInterval, retry)
	return nil
}

// listenUnlessInUse calls use with the result of ListenUnix, unless that fails. inUse reports whether it
// fails because another process listens on the socket; err is nil then.
func listenUnlessInUse(path string, use func(net.Listener)) (inUse bool, err error) {
	l, err := ListenUnix(path)
	if err == nil {
		use(l)
		return false, nil
	}
	if conflict := new(SocketInUseError); errors.As(err, &conflict) {
		return true, nil
	}
	return false, err
}

// RequestReport returns the report of the running proxy that listens on a Unix socket, whose path is socket.
// It fails if the complete report does not arrive within requestTimeout.
func RequestReport(socket string) (Report, error) {
	var r Report
	c, err := net.DialTimeout("unix", filepath.Clean(socket), reportTimeout)
	if err != nil {
		return r, err
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(requestTimeout))
	err = json.NewDecoder(c).Decode(&r)
	return r, err
}
