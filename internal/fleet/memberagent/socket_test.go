package memberagent

import (
	"errors"
	"net"
	"os"
	"path/filepath"
	"testing"
)

// TestListenUnix checks that ListenUnix replaces the socket file of an ended process but not a socket in use,
// and that only the owner may use the socket.
func TestListenUnix(t *testing.T) {
	path := filepath.Join(t.TempDir(), "s")
	abandoned, err := net.Listen("unix", path)
	if err != nil {
		t.Fatal(err)
	}
	abandoned.(*net.UnixListener).SetUnlinkOnClose(false)
	abandoned.Close()
	l, err := ListenUnix(path)
	if err != nil {
		t.Fatalf("ListenUnix(%s) with the socket file of an ended process: error %v, want none", path, err)
	}
	defer l.Close()
	info, err := os.Stat(path)
	if err != nil || info.Mode().Perm() != 0o600 {
		t.Errorf("socket %s has mode %v (error %v), want permissions -rw-------", path, info.Mode(), err)
	}
	var inUse *SocketInUseError
	if _, err := ListenUnix(path); !errors.As(err, &inUse) || inUse.Path != path {
		t.Errorf("ListenUnix on a socket in use: error %v, want a *SocketInUseError for %s", err, path)
	}
}
