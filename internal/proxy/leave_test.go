package proxy

import (
	"testing"
	"time"

	"croftlock/brain"
	"croftlock/internal/netio"
)

// sending opens a request whose module sends it to A, and then to B should that attempt prove not to have run.
func sending(t *testing.T) *world {
	w := newWorld(t)
	w.core.opt.Settings.Classes[0].Effect = brain.Unsafe
	w.on = func(e string) {
		switch e {
		case "request q":
			w.fx.Send("q", "A", 0)
		case "outcome q 0 4 false":
			w.fx.Send("q", "B", 0)
		}
	}
	w.open("q")
	w.seen = nil
	return w
}

// A host's acceptance that comes while the process leaves, when the clients before it have been moved, is passed on, and that
// client is moved like the others.
func TestAcceptedWhileTheProcessLeaves(t *testing.T) {
	w := sending(t)
	left := false
	w.core.Leave(func() { left = true })
	w.pass(900 * time.Millisecond)
	w.ups[0].stage = netio.Sent
	w.ups[0].ev.FromUpstream(Message{Kind: Receipt, Text: []byte("UP\r\n")})
	w.expect("serve q", "first q 0")
	w.pass(1500 * time.Millisecond)
	w.expect("move q", "end up ended", "outcome q 0 6 true")
	if !left {
		t.Error("it does not end")
	}
}

// A new configuration while the process leaves brings a list: the clients are moved all the same, and nothing new begins.
func TestAListWhileTheProcessLeaves(t *testing.T) {
	w := newWorld(t)
	w.serve("q")
	left := false
	w.core.Leave(func() { left = true })
	w.core.Listed(Change{Kind: brain.ListFull, Version: 1, Hosts: []HostEntry{{Endpoint: "at-C", Entry: brain.Entry{ID: "C"}}}})
	w.expect("members 1 1")
	w.pass(2100 * time.Millisecond)
	w.expect("move q", "end up ended", "outcome q 0 6 true")
	if !left {
		t.Error("it does not end")
	}
}

// A connection that breaks before the first line's last byte is written has not reached its host: the request may go elsewhere, also one
// that must not run twice. After that byte it may not.
func TestABreakInTheLastBytesWrite(t *testing.T) {
	w := sending(t)
	w.ups[0].stage = netio.Sending
	w.ups[0].ev.UpstreamEnded(&netio.Error{Stage: netio.Sending, Cause: netio.Broke})
	w.expect("end up ended", "outcome q 0 4 false", "start at-B 1000")

	w = sending(t)
	w.ups[0].stage = netio.Sent
	w.ups[0].ev.UpstreamEnded(&netio.Error{Stage: netio.Sent, Cause: netio.Broke})
	w.expect("end up ended", "outcome q 0 5 false")
}
