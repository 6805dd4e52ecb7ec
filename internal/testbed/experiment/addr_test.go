package experiment

import (
	"net"
	"testing"
)

// TestAFreeAddressStaysFree checks that no other listener or connection occupies an address between
// FreeAddr and the listener on it, even if many ports are in use.
func TestAFreeAddressStaysFree(t *testing.T) {
	var addrs []string
	returned := map[string]bool{}
	for range 50 {
		addr, err := FreeAddr()
		if err != nil || returned[addr] {
			t.Fatalf("FreeAddr() = %q, %v; returned before: %t", addr, err, returned[addr])
		}
		returned[addr], addrs = true, append(addrs, addr)
	}
	for range 200 {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatalf("listen on any port of 127.0.0.1: %v", err)
		}
		defer l.Close()
		c, err := net.Dial("tcp", l.Addr().String())
		if err != nil {
			t.Fatalf("dial %s: %v", l.Addr(), err)
		}
		defer c.Close()
		if returned[l.Addr().String()] || returned[c.LocalAddr().String()] {
			t.Fatalf("a connection from %s to %s uses an address that FreeAddr returned", c.LocalAddr(), l.Addr())
		}
	}
	for _, addr := range addrs {
		l, err := net.Listen("tcp", addr)
		if err != nil {
			t.Fatalf("listen on %s, which FreeAddr returned: %v", addr, err)
		}
		l.Close()
	}
}
