package experiment

import (
	"net"
	"testing"
)

// TestAFreeAddressStaysFree: no connection takes an address between FreeAddr and its listener, although many ports are taken.
func TestAFreeAddressStaysFree(t *testing.T) {
	var addrs []string
	returned := map[string]bool{}
	for range 50 {
		addr, err := FreeAddr()
		if err != nil || returned[addr] {
			t.Fatalf("address %s, returned before: %t; error %v", addr, returned[addr], err)
		}
		returned[addr], addrs = true, append(addrs, addr)
	}
	for range 200 {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		defer l.Close()
		c, err := net.Dial("tcp", l.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		if returned[l.Addr().String()] || returned[c.LocalAddr().String()] {
			t.Fatalf("a connection from %s to %s uses an address that FreeAddr returned", c.LocalAddr(), l.Addr())
		}
	}
	for _, addr := range addrs {
		l, err := net.Listen("tcp", addr)
		if err != nil {
			t.Fatal(err)
		}
		l.Close()
	}
}
