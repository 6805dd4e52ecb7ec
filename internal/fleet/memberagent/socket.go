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
)

const (
	// reportTimeout is how long the event loop may take to make a report and the client to read it, both
	// together, and how long RequestReport may take to connect.
	reportTimeout = 2 * time.Second
	// requestTimeout is how long RequestReport waits for the complete report.
	requestTimeout = 5 * time.Second
	// inUseTimeout is how long ListenUnix waits for another process to accept a connection on the socket.
	inUseTimeout = time.Second
)

// SocketInUseError is returned if another process listens on the Unix socket at Path.
type SocketInUseError struct{ Path string }

// Error implements error.
func (e *SocketInUseError) Error() string { return fmt.Sprintf("socket %s is in use", e.Path) }

// listenForReports calls serveReports. While another process listens on the socket, such as the old one of
// a hot restart that has not left the fleet yet, it retries each socketRetryInterval: the Agent does its
// work without the socket meanwhile. It logs only the first such failure.
func (a *Agent) listenForReports(path string) error {
	err := a.serveReports(path)
	if inUse := new(SocketInUseError); errors.As(err, &inUse) {
		slog.Info("members_socket_in_use", "socket", inUse.Path)
		a.loop.After(socketRetryInterval, func() { a.retryReports(path) })
		return nil
	}
	return err
}

// retryReports calls serveReports until the socket is not in use any more or the Agent has stopped.
func (a *Agent) retryReports(path string) {
	if a.closed {
		return
	}
	err := a.serveReports(path)
	if inUse := new(SocketInUseError); errors.As(err, &inUse) {
		a.loop.After(socketRetryInterval, func() { a.retryReports(path) })
	} else if err != nil {
		slog.Warn("members_socket_off", "reason", err)
	}
}

// serveReports starts a goroutine that answers each connection to the Unix socket with one report. The event
// loop makes the report.
func (a *Agent) serveReports(path string) error {
	l, err := ListenUnix(path)
	if err != nil {
		return err
	}
	a.reportSocket = l
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			a.sendReport(c)
		}
	}()
	return nil
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
