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
	// spareFile takes the state where the disk has no space for another file: it is reserved while there is space, and is overwritten in
	// place. A kill in the middle of that leaves a torn spare, and the state file as it was.
	spareFile = stateFile + ".spare"
	// minSpareSize is the size, in bytes, of a spare file before any state is known.
	minSpareSize = 64 << 10
)

// writeState stores a snapshot in dir. readable says that the next process will find it; an error without that says that it will not, and
// one with it that the snapshot may not outlive the machine's end.
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

// replaceFile replaces a file by a complete new one. A file that could not be synced is still readable for the next process, from the kernel's
// cache.
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

// reserveSpare has the spare file be as large as the next states may be, while the disk has the space.
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

// overwriteFile writes data at the start of a file that is there already. What follows it means nothing.
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
