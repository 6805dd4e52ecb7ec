package hotrestart

import (
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"croftlock/internal/dataplane/proxy"
)

// A message is a length of four bytes and that many bytes of JSON.
const mostMessage = mostState

// message is what two processes of a proxy tell one another.
type message struct {
	Kind     string                      `json:"Kind"`
	Listen   string                      `json:"Listen,omitempty"`   // ask: the address that clients use
	Kept     *proxy.Snapshot             `json:"Kept,omitempty"`     // welcome, taken, listed
	Datagram bool                        `json:"Datagram,omitempty"` // welcome: the second socket handed over is for datagrams
	ID       string                      `json:"ID,omitempty"`       // byhand
	Out      bool                        `json:"Out,omitempty"`
	Sessions int                         `json:"Sessions,omitempty"` // sessions: how many downstreams the sender holds
	Standing *proxy.HandedOverConnection `json:"Standing,omitempty"` // standing, with two sockets: the client's, the host's
	Reason   string                      `json:"Reason,omitempty"`   // no
}

// The kinds of message.
const (
	kindAsk      = "ask"      // new to old: who are you, hand over
	kindWelcome  = "welcome"  // old to new: sockets, and what is known
	kindNo       = "no"       // old to new: not now
	kindTake     = "take"     // new to old: I accept from here on
	kindTaken    = "taken"    // old to new: I do not any more, and this is what I know
	kindByHand   = "byhand"   // either way: an operator's word
	kindListed   = "listed"   // old to new: discovery has told this of hosts since
	kindSessions = "sessions" // old to new
	kindStanding = "standing" // old to new: an open connection
)

const writeWithin = 2 * time.Second

// send writes a message whole, with descriptors beside its first byte.
func send(c *net.UnixConn, m *message, fds ...int) error {
	body, err := json.Marshal(m)
	if err != nil {
		return err
	}
	if len(body) > mostMessage {
		return fmt.Errorf("a message of %d bytes", len(body))
	}
	data := append(binary.BigEndian.AppendUint32(nil, uint32(len(body))), body...)
	c.SetWriteDeadline(time.Now().Add(writeWithin))
	if len(fds) > 0 {
		n, _, err := c.WriteMsgUnix(data[:4], unix.UnixRights(fds...), nil)
		if err != nil || n != 4 {
			return fmt.Errorf("descriptors: %d bytes written: %v", n, err)
		}
		data = data[4:]
	}
	_, err = c.Write(data)
	return err
}

// receive reads a message, and the descriptors that came with it; they are the caller's.
func receive(c *net.UnixConn) (*message, []int, error) {
	var head [4]byte
	var fds []int
	oob := make([]byte, unix.CmsgSpace(4*8))
	for got := 0; got < len(head); {
		n, oobn, _, _, err := c.ReadMsgUnix(head[got:], oob)
		fds = append(fds, rights(oob[:oobn])...)
		if err == nil && n == 0 {
			err = errors.New("ended")
		}
		if err != nil {
			closeAll(fds)
			return nil, nil, err
		}
		got += n
	}
	size := binary.BigEndian.Uint32(head[:])
	if size > mostMessage {
		closeAll(fds)
		return nil, nil, fmt.Errorf("a message of %d bytes", size)
	}
	body, m := make([]byte, size), &message{}
	_, err := io.ReadFull(c, body)
	if err == nil {
		err = json.Unmarshal(body, m)
	}
	if err != nil {
		closeAll(fds)
		return nil, nil, err
	}
	return m, fds, nil
}

func rights(oob []byte) (fds []int) {
	all, err := syscall.ParseSocketControlMessage(oob)
	if err != nil {
		return nil
	}
	for i := range all {
		if got, err := syscall.ParseUnixRights(&all[i]); err == nil {
			for _, fd := range got {
				unix.CloseOnExec(fd)
			}
			fds = append(fds, got...)
		}
	}
	return fds
}

func closeAll(fds []int) {
	for _, fd := range fds {
		unix.Close(fd)
	}
}
