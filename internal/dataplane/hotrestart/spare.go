package hotrestart

import (
	"errors"
	"fmt"
	"io/fs"
	"log/slog"
	"os"
	"path/filepath"

	"golang.org/x/sys/unix"

	"croftlock/internal/dataplane/proxy"
)

// spareFile takes the state where the disk gives no room for another file: it is as large as it will have to be from the start, and is written over in
// place. A kill in the middle of that leaves a torn one, and the state file as it was.
const spareFile = stateFile + ".spare"

// leastSpare is the size of a spare file before any state is known.
const leastSpare = 64 << 10

// write keeps k in dir. kept says that a process which comes after this one's end will find it; an error that it might not outlive the machine's.
func write(dir string, k *proxy.Snapshot) (kept bool, err error) {
	data, err := encode(k)
	if err != nil {
		return false, err
	}
	if len(data) > mostState {
		return false, fmt.Errorf("%d bytes are more than %d", len(data), mostState)
	}
	kept, err = replace(filepath.Join(dir, stateFile), data)
	if kept {
		reserve(dir, 2*len(data))
		return true, err
	}
	if spareErr := overwrite(filepath.Join(dir, spareFile), data); spareErr != nil {
		return false, errors.Join(err, spareErr)
	}
	return true, err
}

// replace puts a whole new file into the place of the old one. A file that could not be synced is still there for the next process, which reads what
// the kernel holds.
func replace(path string, data []byte) (there bool, err error) {
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

// reserve has the spare file be as large as the next states may be, on a disk that has the room now.
func reserve(dir string, size int) {
	path := filepath.Join(dir, spareFile)
	size = max(size, leastSpare)
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

// overwrite writes data at the start of a file that is there already. What stands behind it means nothing.
func overwrite(path string, data []byte) error {
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

// newest gives the later of the state and its spare. A spare that can't be used is as none.
func newest(dir string, now int64) (*proxy.Snapshot, error) {
	k, err := readFile(filepath.Join(dir, stateFile), now)
	spare, spareErr := readFile(filepath.Join(dir, spareFile), now)
	if spareErr == nil && spare != nil && (k == nil || spare.At > k.At) {
		return spare, nil
	}
	if system := new(fs.PathError); err == nil && errors.As(spareErr, &system) {
		return k, spareErr // the disk may give it in a moment
	}
	return k, err
}
