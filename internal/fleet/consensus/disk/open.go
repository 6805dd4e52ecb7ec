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

// Open opens a file, or creates it if it does not exist. Writes fail with ErrFull while the file is
// larger than maxBytes. The error of Open wraps ErrInUse or ErrUnreadable, or is an *fs.PathError.
func Open(path string, maxBytes int64) (s *Store, err error) {
	// If the file is shorter than its header claims, access to a page faults. That must become an
	// error instead of ending the process.
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
		// Without this sync a crash may lose the directory entry of a new file, and the votes in
		// it.
		err = syncDir(filepath.Dir(path))
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

// asUnreadable returns an error of the operating system unchanged, and any other wrapped in
// ErrUnreadable with the path.
func asUnreadable(path string, err error) error {
	var system *fs.PathError
	if errors.As(err, &system) {
		return err
	}
	return fmt.Errorf("%w: %s: %v", ErrUnreadable, path, err)
}

// syncDir makes the entries of a directory durable.
func syncDir(dir string) error {
	d, err := os.Open(dir)
	if err != nil {
		return err
	}
	defer d.Close()
	return d.Sync()
}

// recoverableErrors lists the errors of the operating system after which a file is unchanged: there
// was no space, or no permission to write.
var recoverableErrors = []error{syscall.ENOSPC, syscall.EFBIG, syscall.EDQUOT, syscall.EROFS, syscall.EACCES, syscall.EPERM}

// Recoverable reports whether the same process may open a store again after err: the file is full or
// in use, or the write left it unchanged. After another error, in particular of a sync, the process
// might read from the page cache what is not on the disk.
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
