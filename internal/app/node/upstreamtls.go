package node

import (
	"fmt"
	"log/slog"
	"strings"
	"time"

	"croftlock/internal/dataplane/lineproto"
	"croftlock/internal/dataplane/netio"
	"croftlock/internal/dataplane/proxy"
	"croftlock/internal/dataplane/upstreamtls"
)

// newUpstreamTLS starts a TLS dialer for upstream hosts. It returns an error if a certificate, key or
// trust file cannot be used. The process must then not start, because a proxy that cannot connect
// to any host must not accept clients.
func newUpstreamTLS(loop *netio.Loop, o upstreamtls.Options, wallClock func() time.Time) (*upstreamtls.Dialer, error) {
	material, err := upstreamtls.Load(o, 1)
	if err != nil {
		return nil, fmt.Errorf("tls: %w", err)
	}
	dialer := upstreamtls.New(loop, material, wallClock)
	dialer.Run()
	slog.Info("tls_on", "epoch", material.Epoch, "min_version", o.MinVersion, "key_exchange", strings.Join(o.KeyExchange, ","),
		"reuse", o.ResumeSessions, "on_expiry", o.OnExpiry)
	return dialer, nil
}

// tlsOpener returns an Opener, which is a function that connects to an upstream host, that uses TLS.
func tlsOpener(dialer *upstreamtls.Dialer) lineproto.Opener {
	return func(to proxy.Target, within time.Duration, limit int, h netio.Handler,
		done func(*netio.Conn, *netio.Error)) func() {
		return dialer.Dial(upstreamtls.Host(to), within, limit, h, done)
	}
}
