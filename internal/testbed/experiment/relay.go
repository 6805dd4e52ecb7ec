package experiment

import (
	"bufio"
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"io"
	"net"
	"os"
	"runtime"

	"croftlock/internal/dataplane/lineproto"
)

// relayOptions configure the relay that croftlock's TLS is compared with. The relay uses crypto/tls
// and two goroutines per connection, and makes no decisions or checks.
type relayOptions struct {
	upstream   string // address of the server
	trust      string // path of the CA bundle; empty means TCP without TLS
	serverName string // name that the server's certificate must contain
}

// run listens on a loopback address and serves connections until accepting fails.
func (o *relayOptions) run() error {
	runtime.GOMAXPROCS(1)
	var config *tls.Config
	if o.trust != "" {
		data, err := os.ReadFile(o.trust)
		if err != nil {
			return err
		}
		config = &tls.Config{RootCAs: x509.NewCertPool(), ServerName: o.serverName, ClientSessionCache: tls.NewLRUClientSessionCache(0)}
		config.RootCAs.AppendCertsFromPEM(data)
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	fmt.Fprintf(os.Stderr, "event=ready listen=%s\n", l.Addr())
	for {
		c, err := l.Accept()
		if err != nil {
			return err
		}
		go o.serve(c, config)
	}
}

// serve relays one client connection. A nil config means TCP without TLS.
func (o *relayOptions) serve(c net.Conn, config *tls.Config) {
	defer c.Close()
	up, err := net.Dial("tcp", o.upstream)
	if err != nil {
		return
	}
	defer up.Close()
	if config != nil {
		up = tls.Client(up, config)
	}
	go func() {
		forwardLines(up, c, nil)
		up.Close()
		c.Close()
	}()
	// Like the proxy, the relay forwards whole lines and parses those of the host.
	forwardLines(c, up, func(line []byte) { lineproto.ParseHostLine(line) })
}

// forwardLines forwards complete lines until reading or writing fails. If inspect is not nil, it is
// called with each line before the line is written.
func forwardLines(to io.Writer, from io.Reader, inspect func(line []byte)) {
	in := bufio.NewReaderSize(from, lineproto.MaxLineBytes)
	for {
		line, err := in.ReadSlice('\n')
		if err != nil {
			return
		}
		if inspect != nil {
			inspect(line)
		}
		if _, err := to.Write(line); err != nil {
			return
		}
	}
}
