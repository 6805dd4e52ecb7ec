// Package hotrestart carries a proxy from one process to the next while it serves: the new process asks the old one for its
// listening sockets and for what it knows, over a Unix socket in the platform's private folder, and both stay in touch until
// one of them ends. What must survive the end of both stands in a file there. It owns that socket, that file and their forms;
// when to take over and what follows from it is the wiring's business.
package hotrestart

import (
	"bytes"
	"encoding/json"
	"fmt"
	"hash/crc32"
	"log/slog"
	"os"
	"path/filepath"

	"croftlock/internal/dataplane/proxy"
)

// The file begins with a line that names its form, then how long the rest is and its checksum.
const (
	stateFile = "croftlock.state"
	magic     = "croftlock-state 1"
	mostState = 4 << 20
)

// encode gives the file's bytes.
func encode(k *proxy.Snapshot) ([]byte, error) {
	body, err := json.Marshal(k)
	if err != nil {
		return nil, err
	}
	head := fmt.Sprintf("%s %d %08x\n", magic, len(body), crc32.ChecksumIEEE(body))
	return append([]byte(head), body...), nil
}

// decode reads them. Whatever is torn, foreign, of another version or beyond the bounds is an error.
func decode(data []byte, now int64) (*proxy.Snapshot, error) {
	head, body, ok := bytes.Cut(data, []byte("\n"))
	var length int
	var sum uint32
	if n, err := fmt.Sscanf(string(head), magic+" %d %x", &length, &sum); !ok || err != nil || n != 2 {
		return nil, fmt.Errorf("it begins with %.40q, expected %q", head, magic)
	}
	if length >= 0 && length < len(body) && body[length] == 0 {
		body = body[:length] // a spare file is larger than what it holds
	}
	if length != len(body) || sum != crc32.ChecksumIEEE(body) {
		return nil, fmt.Errorf("%d bytes with checksum %08x, expected %d with %08x", len(body), crc32.ChecksumIEEE(body), length, sum)
	}
	k := &proxy.Snapshot{}
	if err := json.Unmarshal(body, k); err != nil {
		return nil, err
	}
	k.Rebase(now, false)
	return k, k.Check(now)
}

// Read gives what a process before this one has kept in dir; nil without an error: nothing. A file that can't be used is an
// error that must not keep a proxy from starting.
func Read(dir string, now int64) (*proxy.Snapshot, error) { return newest(dir, now) }

// readFile reads one file of the form; nil without an error: there is none, or one that was never written.
func readFile(path string, now int64) (*proxy.Snapshot, error) {
	info, err := os.Lstat(path)
	if os.IsNotExist(err) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	if !info.Mode().IsRegular() || info.Size() > mostState {
		return nil, fmt.Errorf("%s: %d bytes, mode %v; expected a plain file of at most %d", path, info.Size(), info.Mode(), mostState)
	}
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	if len(data) > 0 && data[0] == 0 {
		return nil, nil // room that was reserved, and nothing in it yet
	}
	k, err := decode(data, now)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return k, nil
}

// SetAside keeps a file that can't be used from being written over, for whoever looks into why.
func SetAside(dir string) {
	path := filepath.Join(dir, stateFile)
	if err := os.Rename(path, path+".unusable"); err != nil && !os.IsNotExist(err) {
		slog.Warn("state_not_set_aside", "reason", err)
	}
}
