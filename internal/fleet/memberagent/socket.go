package memberagent

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"time"
)

const (
	// reportTimeout bounds how long the loop may take for a report, and the client to read it.
	reportTimeout = 2 * time.Second
	// requestTimeout bounds how long RequestReport waits for the complete report.
	requestTimeout = 5 * time.Second
	// inUseTimeout is how long ListenUnix waits for another process to accept on the socket.
	inUseTimeout = time.Second
)

// SocketInUseError says that another process listens on a Unix socket.
type SocketInUseError struct{ Path string }

// Error names the socket.
func (e *SocketInUseError) Error() string { return fmt.Sprintf("socket %s is in use", e.Path) }

// serveReports answers each connection to the Unix socket with one report. It runs beside the loop, which makes the report.
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

// ListenUnix opens a Unix socket for operators that only its owner may use. A socket file that an ended process has left is replaced; the error is
// a *SocketInUseError where another process listens on it.
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

// RequestReport reads the report of a running proxy.
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
