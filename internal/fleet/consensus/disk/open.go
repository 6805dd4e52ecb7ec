package disk

import (
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"runtime/debug"
	"slices"
	"syscall"
	"time"

	"go.etcd.io/bbolt"
	bbolterrors "go.etcd.io/bbolt/errors"
)

// lockTimeout is how long Open waits for another process to close the file.
const lockTimeout = 20 * time.Millisecond

// Open opens a file, or creates it. maxBytes bounds its size. Errors are ErrInUse, ErrUnreadable or an *fs.PathError of the system.
func Open(path string, maxBytes int64) (s *Store, err error) {
	// In a file that is shorter than its header says, access to a page faults. That must be an error here, and not end the process.
	defer debug.SetPanicOnFault(debug.SetPanicOnFault(true))
	defer func() {
		if p := recover(); p != nil {
			s, err = nil, fmt.Errorf("%w: %s: %v", ErrUnreadable, path, p)
		}
	}()
	db, err := bbolt.Open(path, 0o600, &bbolt.Options{Timeout: lockTimeout, FreelistType: bbolt.FreelistMapType})
	if errors.Is(err, bbolterrors.ErrTimeout) {
		return nil, fmt.Errorf("%w: %s", ErrInUse, path)
	}
	if err != nil {
		return nil, asUnreadable(path, err)
	}
	s = &Store{database: db, path: path, maxBytes: maxBytes}
	if err = db.Update(createBuckets); err == nil {
		err = syncDir(filepath.Dir(path)) // or a crash may lose the name of a new file, and its votes with it
	}
	if err != nil {
		db.Close()
		return nil, asUnreadable(path, err)
	}
	return s, nil
}

func createBuckets(tx *bbolt.Tx) error {
	for _, name := range [][]byte{bucketMeta, bucketLog, bucketStarts} {
		if _, err := tx.CreateBucketIfNotExists(name); err != nil {
			return err
		}
	}
	return nil
}

// asUnreadable returns an error of the system as it is, and makes any other an ErrUnreadable.
func asUnreadable(path string, err error) error {
	var system *fs.PathError
	if errors.As(err, &system) {
		return err
	}
	return fmt.Errorf("%w: %s: %v", ErrUnreadable, path, err)
}

func syncDir(dir string) error {
	d, err := os.Open(dir)
	if err != nil {
		return err
	}
	defer d.Close()
	return d.Sync()
}

// recoverableErrors are the system's errors after which a file is unchanged: there was no space, or no permission to write.
var recoverableErrors = []error{syscall.ENOSPC, syscall.EFBIG, syscall.EDQUOT, syscall.EROFS, syscall.EACCES, syscall.EPERM}

// Recoverable reports whether the same process may open a store again after an error. After other errors, above all of a sync, what the system
// shows of the file may differ from what is on the disk.
func Recoverable(err error) bool {
	if errors.Is(err, ErrFull) || errors.Is(err, ErrInUse) {
		return true
	}
	var system *fs.PathError
	if !errors.As(err, &system) || system.Op == "sync" {
		return false
	}
	return slices.ContainsFunc(recoverableErrors, func(e error) bool { return errors.Is(err, e) })
}
