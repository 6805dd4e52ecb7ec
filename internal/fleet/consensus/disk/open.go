package disk

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"runtime/debug"
	"syscall"
	"time"

	"go.etcd.io/bbolt"
	bbolterrors "go.etcd.io/bbolt/errors"
)

// Open opens a file, or makes it. most bounds it in bytes.
func Open(path string, most int64) (s *Store, err error) {
	// A file that is shorter than it says faults when its pages are touched; that is to be an error here, not the process's end.
	defer debug.SetPanicOnFault(debug.SetPanicOnFault(true))
	defer func() {
		if p := recover(); p != nil {
			s, err = nil, fmt.Errorf("%w: %s: %v", ErrUnreadable, path, p)
		}
	}()
	db, err := bbolt.Open(path, 0o600, &bbolt.Options{Timeout: 20 * time.Millisecond, FreelistType: bbolt.FreelistMapType})
	if errors.Is(err, bbolterrors.ErrTimeout) {
		return nil, fmt.Errorf("%w: %s", ErrInUse, path)
	}
	if err != nil {
		return nil, unreadable(path, err)
	}
	s = &Store{db: db, path: path, most: most}
	err = db.Update(func(tx *bbolt.Tx) error {
		for _, b := range [][]byte{bucketMeta, bucketLog, bucketSeen} {
			if _, err := tx.CreateBucketIfNotExists(b); err != nil {
				return err
			}
		}
		return nil
	})
	if err == nil {
		err = syncDir(filepath.Dir(path)) // else a new file's name may be lost, and its votes with it
	}
	if err != nil {
		db.Close()
		return nil, unreadable(path, err)
	}
	return s, nil
}

// unreadable leaves what the system says about a file as it is, and calls everything else a fault of the file.
func unreadable(path string, err error) error {
	var p *fs.PathError
	if errors.As(err, &p) {
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

// Recoverable tells whether a store that failed may be opened again by the same process: there was no room, or none to write. After any
// other failure, first of all of a sync, what the system shows of the file may not be what is on the disk.
func Recoverable(err error) bool {
	var p *fs.PathError
	if errors.Is(err, ErrFull) || errors.Is(err, ErrInUse) {
		return true
	}
	for _, e := range []error{syscall.ENOSPC, syscall.EFBIG, syscall.EDQUOT, syscall.EROFS, syscall.EACCES, syscall.EPERM} {
		if errors.Is(err, e) && errors.As(err, &p) && p.Op != "sync" {
			return true
		}
	}
	return false
}

func open(key, sealed []byte) ([]byte, error) {
	if len(sealed) < 8 || binary.BigEndian.Uint64(sealed) != sum(key, sealed[8:]) {
		return nil, fmt.Errorf("%w: the record %q does not fit its sum", ErrUnreadable, key)
	}
	return append([]byte(nil), sealed[8:]...), nil
}
