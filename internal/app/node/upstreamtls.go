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

// newUpstreamTLS makes TLS to upstream hosts, where the operators want it; else nil. Files that cannot be used end the start: a proxy that
// can reach nobody must not accept clients. It takes what it needs from the core's options.
func newUpstreamTLS(loop *netio.Loop, o upstreamtls.Options, opt *proxy.Options) (*upstreamtls.Link, error) {
	if !o.Enabled {
		return nil, nil
	}
	m, err := upstreamtls.Load(o, 1)
	if err != nil {
		return nil, fmt.Errorf("tls: %w", err)
	}
	opt.Expiry = o.Expiry
	// Each handshake under way holds a descriptor, and one more while its socket changes hands.
	opt.MaxDownstreams = max(1, opt.MaxDownstreams-o.Handshakes.AtOnce)
	link := upstreamtls.New(loop, m, opt.Wall)
	link.Run()
	slog.Info("tls_on", "epoch", m.Epoch, "min_version", o.MinVersion, "key_exchange", strings.Join(o.KeyExchange, ","),
		"reuse", o.Reuse, "on_expiry", o.OnExpiry)
	return link, nil
}

// openByTLS opens connections to upstream hosts by TLS.
func openByTLS(k *upstreamtls.Link) lineproto.Opener {
	return func(to proxy.Target, within time.Duration, limit int, h netio.Handler,
		done func(*netio.Conn, *netio.Error)) func() {
		return k.Dial(upstreamtls.Host(to), within, limit, h, done)
	}
}
