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
)

const (
	// maxMessageSize is the maximum size of a message body, in bytes. On the wire a message is a
	// big-endian length of four bytes, followed by that many bytes of JSON.
	maxMessageSize = maxStateSize
	// maxDescriptors is the number of descriptors for which a read has space. Messages carry at most two.
	maxDescriptors = 8
	// writeTimeout is the maximum time to write a complete message to the other process.
	writeTimeout = 2 * time.Second
)

var (
	errMessageTooLong  = errors.New("message too long")
	errConnectionEnded = errors.New("ended") // the other process closed the connection
)

// send writes a complete message within writeTimeout. Its descriptors are sent with the four bytes of
// the length.
func send(c *net.UnixConn, m message) error {
	e := m.envelope()
	body, err := json.Marshal(&e)
	if err != nil {
		return err
	}
	if len(body) > maxMessageSize {
		return fmt.Errorf("%w: %d bytes, at most %d, kind %q", errMessageTooLong, len(body), maxMessageSize, e.Kind)
	}
	data := append(binary.BigEndian.AppendUint32(nil, uint32(len(body))), body...)
	c.SetWriteDeadline(time.Now().Add(writeTimeout))
	if fds := m.descriptors(); len(fds) > 0 {
		n, _, err := c.WriteMsgUnix(data[:4], unix.UnixRights(fds...), nil)
		if err != nil || n != 4 {
			return fmt.Errorf("sending %d descriptors: wrote %d of 4 bytes: %v", len(fds), n, err)
		}
		data = data[4:]
	}
	_, err = c.Write(data)
	return err
}

// receive reads an envelope and the descriptors that arrive with it, which the caller then owns.
// After an error it returns none.
func receive(c *net.UnixConn) (e *envelope, fds []int, err error) {
	defer func() {
		if err != nil {
			closeDescriptors(fds)
			e, fds = nil, nil
		}
	}()
	size, fds, err := receiveHeader(c)
	if err != nil {
		return nil, fds, err
	}
	if size > maxMessageSize {
		return nil, fds, fmt.Errorf("%w: %d bytes, at most %d", errMessageTooLong, size, maxMessageSize)
	}
	body := make([]byte, size)
	if _, err := io.ReadFull(c, body); err != nil {
		return nil, fds, err
	}
	e = &envelope{}
	return e, fds, json.Unmarshal(body, e)
}

// receiveHeader reads the length of a message in bytes and the descriptors that arrive with it. It
// returns the descriptors already received even if err is not nil.
func receiveHeader(c *net.UnixConn) (size uint32, fds []int, err error) {
	var header [4]byte
	control := make([]byte, unix.CmsgSpace(maxDescriptors*4))
	for got := 0; got < len(header); {
		n, controlLen, _, _, err := c.ReadMsgUnix(header[got:], control)
		fds = append(fds, parseDescriptors(control[:controlLen])...)
		if err == nil && n == 0 {
			err = errConnectionEnded
		}
		if err != nil {
			return 0, fds, err
		}
		got += n
	}
	return binary.BigEndian.Uint32(header[:]), fds, nil
}

// parseDescriptors returns the descriptors in a control message, after marking them close-on-exec. It
// returns nil if control cannot be parsed.
func parseDescriptors(control []byte) (fds []int) {
	messages, err := syscall.ParseSocketControlMessage(control)
	if err != nil {
		return nil
	}
	for i := range messages {
		got, err := syscall.ParseUnixRights(&messages[i])
		if err != nil {
			continue
		}
		for _, fd := range got {
			unix.CloseOnExec(fd)
		}
		fds = append(fds, got...)
	}
	return fds
}

// closeDescriptors closes fds.
func closeDescriptors(fds []int) {
	for _, fd := range fds {
		unix.Close(fd)
	}
}
