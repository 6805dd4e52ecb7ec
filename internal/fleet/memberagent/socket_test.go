package memberagent

import (
	"errors"
	"net"
	"os"
	"path/filepath"
	"testing"
)

// TestListenUnix: what an ended process left is replaced, a socket in use is not, and only the owner may use it.
func TestListenUnix(t *testing.T) {
	path := filepath.Join(t.TempDir(), "s")
	left, err := net.Listen("unix", path)
	if err != nil {
		t.Fatal(err)
	}
	left.(*net.UnixListener).SetUnlinkOnClose(false)
	left.Close()
	l, err := ListenUnix(path)
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	info, err := os.Stat(path)
	if err != nil || info.Mode().Perm() != 0o600 {
		t.Errorf("mode %v, %v", info.Mode(), err)
	}
	var inUse *SocketInUseError
	if _, err := ListenUnix(path); !errors.As(err, &inUse) || inUse.Path != path {
		t.Errorf("a socket in use: %v", err)
	}
}
