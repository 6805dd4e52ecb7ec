package hotrestart

import (
	"errors"
	"fmt"
	"log/slog"
	"net"
	"os"
	"path/filepath"
	"syscall"
	"time"

	"croftlock/internal/dataplane/netio"
)

// RequestHandover asks the process that serves at listen, and keeps its things in dir, to hand over. It gives nil without an error where
// there is none. After an error there may be one that can hand over when it is asked again.
func RequestHandover(dir, listen string, now int64) (*Partner, *Handoff, error) {
	path, clean := short(dir)
	defer clean()
	c, err := net.DialTimeout("unix", path, askWithin)
	if errors.Is(err, syscall.ENOENT) || errors.Is(err, syscall.ECONNREFUSED) {
		return nil, nil, nil // no file, or nobody behind it any more
	}
	if err != nil {
		return nil, nil, err
	}
	conn := c.(*net.UnixConn)
	conn.SetReadDeadline(time.Now().Add(askWithin))
	err = send(conn, &message{Kind: kindAsk, Listen: listen})
	var m *message
	var fds []int
	if err == nil {
		m, fds, err = receive(conn)
	}
	switch {
	case err != nil:
	case m.Kind == kindNo:
		err = fmt.Errorf("%w: %s", ErrBusy, m.Reason)
	case m.Kind != kindWelcome || m.Kept == nil || len(fds) == 0 || len(fds) > 2 || (len(fds) == 2) != m.Datagram:
		err = fmt.Errorf("the process that serves answered %q with %d sockets", m.Kind, len(fds))
	default:
		m.Kept.Rebase(now, true)
		if err = m.Kept.Check(now); err == nil {
			conn.SetReadDeadline(time.Time{})
			h := &Handoff{Snapshot: m.Kept, Listener: fds[0], Datagram: -1}
			if m.Datagram {
				h.Datagram = fds[1]
			}
			return newPartner(conn), h, nil
		}
	}
	closeAll(fds)
	conn.Close()
	return nil, nil, err
}

// short gives a path to the socket that fits the system's limit on such paths; clean is to be called after its use.
func short(dir string) (path string, clean func()) {
	path = filepath.Join(dir, door)
	if len(path) < 100 {
		return path, func() {}
	}
	f, err := os.Open(dir)
	if err != nil {
		return path, func() {}
	}
	return fmt.Sprintf("/proc/self/fd/%d/%s", f.Fd(), door), func() { f.Close() }
}

// Endpoint is where the next process asks.
type Endpoint struct{ listener *net.UnixListener }

// Offer takes over the place in dir where the next process asks. welcome is called on the loop when one does, with the address
// that clients use at it; it answers with what is handed over, or with why not, and what it hands over stays this
// process's as well. come is called on the loop with the partner.
func Offer(l *netio.Loop, dir string, welcome func(listen string) (*Handoff, error), come func(*Partner)) (*Endpoint, error) {
	path, clean := short(dir)
	defer clean()
	// Another process may stand there still, and must not be cut off before this one is in its place.
	fresh := path + ".new"
	os.Remove(fresh)
	ln, err := net.ListenUnix("unix", &net.UnixAddr{Name: fresh, Net: "unix"})
	if err != nil {
		return nil, err
	}
	ln.SetUnlinkOnClose(false)
	err = os.Chmod(fresh, 0o600)
	if err == nil {
		err = os.Rename(fresh, path)
	}
	if err != nil {
		ln.Close()
		return nil, err
	}
	d := &Endpoint{ln}
	go d.serve(l, welcome, come)
	return d, nil
}

// Close ends the offer.
func (d *Endpoint) Close() { d.listener.Close() }

// serve takes one caller after the other: there is never more than one that matters.
func (d *Endpoint) serve(l *netio.Loop, welcome func(string) (*Handoff, error), come func(*Partner)) {
	for {
		c, err := d.listener.AcceptUnix()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			time.Sleep(50 * time.Millisecond) // out of descriptors, for one
			continue
		}
		d.answer(l, c, welcome, come)
	}
}

func (d *Endpoint) answer(l *netio.Loop, c *net.UnixConn, welcome func(string) (*Handoff, error), come func(*Partner)) {
	c.SetReadDeadline(time.Now().Add(askWithin))
	m, fds, err := receive(c)
	closeAll(fds)
	if err != nil || m.Kind != kindAsk {
		c.Close()
		return
	}
	type answer struct {
		handed *Handoff
		err    error
	}
	got := make(chan answer, 1)
	l.Post(func() {
		h, err := welcome(m.Listen)
		got <- answer{h, err}
	})
	a := <-got
	if a.err != nil {
		send(c, &message{Kind: kindNo, Reason: a.err.Error()})
		c.Close()
		return
	}
	c.SetReadDeadline(time.Time{})
	rights := []int{a.handed.Listener}
	if a.handed.Datagram >= 0 {
		rights = append(rights, a.handed.Datagram)
	}
	p := newPartner(c)
	if err := send(c, &message{Kind: kindWelcome, Kept: a.handed.Snapshot, Datagram: a.handed.Datagram >= 0}, rights...); err != nil {
		slog.Warn("hot_restart_failed", "reason", err)
		p.Close()
	}
	l.Post(func() { come(p) })
}
