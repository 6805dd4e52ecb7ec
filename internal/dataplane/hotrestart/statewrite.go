package hotrestart

import (
	"errors"
	"fmt"
	"log/slog"
	"os"
	"path/filepath"

	"golang.org/x/sys/unix"

	"croftlock/internal/dataplane/proxy"
)

const (
	// spareFile is the name of the file that stores the state if the state file cannot be replaced, for
	// example because the disk is full. Its space is reserved while the disk has some, and it is
	// overwritten in place. A process killed during that write leaves an incomplete spare file and the
	// previous state file.
	spareFile = stateFile + ".spare"
	// minSpareSize is the minimum size of a spare file, in bytes.
	minSpareSize = 64 << 10
)

// writeState stores a snapshot in dir. readable reports whether the next process will find it. If
// readable is true and err is not nil, either the snapshot may not survive a failure of the machine,
// or it is in the spare file because the state file could not be replaced. After replacing the state
// file, writeState reserves twice the state's size for the spare file.
func writeState(dir string, s *proxy.Snapshot) (readable bool, err error) {
	data, err := encodeState(s)
	if err != nil {
		return false, err
	}
	if len(data) > maxStateSize {
		return false, fmt.Errorf("%w: %d bytes, at most %d", errStateTooLarge, len(data), maxStateSize)
	}
	readable, err = replaceFile(filepath.Join(dir, stateFile), data)
	if readable {
		reserveSpare(dir, 2*len(data))
		return true, err
	}
	if spareErr := overwriteFile(filepath.Join(dir, spareFile), data); spareErr != nil {
		return false, errors.Join(err, spareErr)
	}
	return true, err
}

// replaceFile writes data to a temporary file and renames it to path. readable reports whether path
// has the new content. If only the sync fails, readable is true and err is not nil: the next process
// still reads the file from the kernel's cache.
func replaceFile(path string, data []byte) (readable bool, err error) {
	f, err := os.CreateTemp(filepath.Dir(path), "."+filepath.Base(path)+".*")
	if err != nil {
		return false, err
	}
	defer os.Remove(f.Name())
	if _, err = f.Write(data); err != nil {
		f.Close()
		return false, err
	}
	syncErr := f.Sync()
	if closeErr := f.Close(); syncErr == nil {
		syncErr = closeErr
	}
	if err = os.Rename(f.Name(), path); err != nil {
		return false, err
	}
	return true, syncErr
}

// reserveSpare reserves size bytes, or minSpareSize if that is more, for the spare file, so that later
// and larger states fit when the disk is full. It logs an error, because the state is already stored.
func reserveSpare(dir string, size int) {
	path := filepath.Join(dir, spareFile)
	size = max(size, minSpareSize)
	if info, err := os.Stat(path); err == nil && info.Size() >= int64(size) {
		return
	}
	f, err := os.OpenFile(path, os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		slog.Warn("spare_state_unavailable", "reason", err)
		return
	}
	defer f.Close()
	if err := unix.Fallocate(int(f.Fd()), 0, 0, int64(size)); err != nil {
		slog.Warn("spare_state_unavailable", "reason", err)
	}
}

// overwriteFile writes data at the start of an existing file without truncating it, so that its space
// stays reserved. parseState ignores the rest of the file if the byte after data is zero. If the sync
// fails, overwriteFile only logs it, because the next process still reads the kernel's cache.
func overwriteFile(path string, data []byte) error {
	f, err := os.OpenFile(path, os.O_WRONLY, 0)
	if err != nil {
		return err
	}
	defer f.Close()
	if _, err := f.WriteAt(data, 0); err != nil {
		return err
	}
	if err := f.Sync(); err != nil {
		slog.Warn("state_not_synced", "path", path, "reason", err)
	}
	return nil
}
