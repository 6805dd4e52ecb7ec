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
	// stateFile is the name of the state file in the private directory.
	stateFile = "croftlock.state"
	// stateMagic starts the first line of the file, followed by the length of the rest in bytes and its CRC-32.
	stateMagic = "croftlock-state 1"
	// maxStateSize is the maximum size of the state file and of the spare file, in bytes.
	maxStateSize = 4 << 20
)

// Errors for state files that cannot be used.
var (
	errStateHeader     = errors.New("state file: unknown head")
	errStateChecksum   = errors.New("state file: length or checksum does not match")
	errStateNotRegular = errors.New("state file: not a plain file")
	errStateTooLarge   = errors.New("state file: too large")
)

// encodeState returns the content of the state file for s.
func encodeState(s *proxy.Snapshot) ([]byte, error) {
	body, err := json.Marshal(s)
	if err != nil {
		return nil, err
	}
	header := fmt.Sprintf("%s %d %08x\n", stateMagic, len(body), crc32.ChecksumIEEE(body))
	return append([]byte(header), body...), nil
}

// decodeState decodes the content of a state file. It returns an error if the content is incomplete,
// of another format or version, or beyond the bounds of a snapshot. now is the loop's time in
// nanoseconds, to which the times in the snapshot are converted.
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

// parseState checks the header, the length and the checksum, and returns the body.
func parseState(data []byte) ([]byte, error) {
	header, body, ok := bytes.Cut(data, []byte("\n"))
	var length int
	var sum uint32
	if n, err := fmt.Sscanf(string(header), stateMagic+" %d %x", &length, &sum); !ok || err != nil || n != 2 {
		return nil, fmt.Errorf("%w: %.40q, expected %q", errStateHeader, header, stateMagic)
	}
	if length >= 0 && length < len(body) && body[length] == 0 {
		body = body[:length] // what follows is the unused space of a spare file, which begins with a zero byte
	}
	if got := crc32.ChecksumIEEE(body); length != len(body) || sum != got {
		return nil, fmt.Errorf("%w: %d bytes with %08x, expected %d with %08x", errStateChecksum, len(body), got, length, sum)
	}
	return body, nil
}

// ReadState returns the latest snapshot that an earlier process stored in dir, or nil, nil if there is
// none. The snapshot is in the state file or, if that could not be replaced, in the spare file.
// ReadState returns an error if neither can be used; the caller should then start without a snapshot.
// If only reading the spare file fails, ReadState returns that error with the snapshot of the state
// file, and the caller may try again. now is the loop's time in nanoseconds.
func ReadState(dir string, now int64) (*proxy.Snapshot, error) {
	s, err := readStateFile(filepath.Join(dir, stateFile), now)
	spare, spareErr := readStateFile(filepath.Join(dir, spareFile), now)
	if spareErr == nil && spare != nil && (s == nil || spare.WrittenAt > s.WrittenAt) {
		return spare, nil // the spare file is newer, or the only usable one
	}
	if pathErr := new(fs.PathError); err == nil && errors.As(spareErr, &pathErr) {
		return s, spareErr // reading may succeed later
	}
	return s, err // ignore a spare file with invalid content
}

// readStateFile reads a state or spare file. It returns nil, nil if the file does not exist or if its
// space was reserved but never written.
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
		return nil, nil // reserved, not yet written
	}
	s, err := decodeState(data, now)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return s, nil
}

// SetAsideState renames the state file in dir, which cannot be used, to a name ending in .unusable, so
// that it is not overwritten and operators can examine it. It logs an error of the rename.
func SetAsideState(dir string) {
	path := filepath.Join(dir, stateFile)
	if err := os.Rename(path, path+".unusable"); err != nil && !os.IsNotExist(err) {
		slog.Warn("state_not_set_aside", "reason", err)
	}
}
