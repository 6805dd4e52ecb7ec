package hotrestart

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"hash/crc32"
	"io/fs"
	"log/slog"
	"os"
	"path/filepath"

	"croftlock/internal/dataplane/proxy"
)

const (
	stateFile = "croftlock.state"
	// stateMagic begins the file's first line, which goes on with the length of the rest, in bytes, and its CRC-32.
	stateMagic = "croftlock-state 1"
	// maxStateSize is the largest state, in bytes.
	maxStateSize = 4 << 20
)

// What makes a state file unusable.
var (
	errStateHeader     = errors.New("state file: unknown head")
	errStateChecksum   = errors.New("state file: length or checksum does not match")
	errStateNotRegular = errors.New("state file: not a plain file")
	errStateTooLarge   = errors.New("state file: too large")
)

// encodeState gives the file's bytes.
func encodeState(s *proxy.Snapshot) ([]byte, error) {
	body, err := json.Marshal(s)
	if err != nil {
		return nil, err
	}
	header := fmt.Sprintf("%s %d %08x\n", stateMagic, len(body), crc32.ChecksumIEEE(body))
	return append([]byte(header), body...), nil
}

// decodeState reads the file's bytes. Whatever is torn, foreign, of another version or beyond the bounds is an error.
func decodeState(data []byte, now int64) (*proxy.Snapshot, error) {
	body, err := parseState(data)
	if err != nil {
		return nil, err
	}
	s := &proxy.Snapshot{}
	if err := json.Unmarshal(body, s); err != nil {
		return nil, err
	}
	s.Rebase(now, false)
	return s, s.Check(now)
}

// parseState checks the head and gives what it describes.
func parseState(data []byte) ([]byte, error) {
	header, body, ok := bytes.Cut(data, []byte("\n"))
	var length int
	var sum uint32
	if n, err := fmt.Sscanf(string(header), stateMagic+" %d %x", &length, &sum); !ok || err != nil || n != 2 {
		return nil, fmt.Errorf("%w: %.40q, expected %q", errStateHeader, header, stateMagic)
	}
	if length >= 0 && length < len(body) && body[length] == 0 {
		body = body[:length] // a spare file is larger than its content
	}
	if got := crc32.ChecksumIEEE(body); length != len(body) || sum != got {
		return nil, fmt.Errorf("%w: %d bytes with %08x, expected %d with %08x", errStateChecksum, len(body), got, length, sum)
	}
	return body, nil
}

// ReadState gives the snapshot that a process before this one has stored in dir; nil without an error: there is none. A file that cannot be
// used is an error that must not keep a proxy from starting. now is the loop's time.
func ReadState(dir string, now int64) (*proxy.Snapshot, error) {
	s, err := readStateFile(filepath.Join(dir, stateFile), now)
	spare, spareErr := readStateFile(filepath.Join(dir, spareFile), now)
	if spareErr == nil && spare != nil && (s == nil || spare.WrittenAt > s.WrittenAt) {
		return spare, nil // the later of the two
	}
	if pathErr := new(fs.PathError); err == nil && errors.As(spareErr, &pathErr) {
		return s, spareErr // the disk may give it in a moment
	}
	return s, err // a spare that cannot be used counts as none
}

// readStateFile reads one file of the form; nil without an error: there is none, or one that was never written.
func readStateFile(path string, now int64) (*proxy.Snapshot, error) {
	info, err := os.Lstat(path)
	if os.IsNotExist(err) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	if !info.Mode().IsRegular() {
		return nil, fmt.Errorf("%s: %w: mode %v", path, errStateNotRegular, info.Mode())
	}
	if info.Size() > maxStateSize {
		return nil, fmt.Errorf("%s: %w: %d bytes, at most %d", path, errStateTooLarge, info.Size(), maxStateSize)
	}
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	if len(data) > 0 && data[0] == 0 {
		return nil, nil // reserved, and nothing in it yet
	}
	s, err := decodeState(data, now)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return s, nil
}

// SetAsideState keeps a file that cannot be used from being overwritten, for whoever looks into why.
func SetAsideState(dir string) {
	path := filepath.Join(dir, stateFile)
	if err := os.Rename(path, path+".unusable"); err != nil && !os.IsNotExist(err) {
		slog.Warn("state_not_set_aside", "reason", err)
	}
}
