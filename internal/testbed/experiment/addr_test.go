package experiment

import (
	"net"
	"testing"
)

// No connection can take an address that was given out before its process listens there, although many ports are taken in between.
func TestAFreeAddressStaysFree(t *testing.T) {
	var given []string
	seen := map[string]bool{}
	for range 50 {
		a, err := FreeAddr()
		if err != nil || seen[a] {
			t.Fatalf("%s again, or %v", a, err)
		}
		seen[a], given = true, append(given, a)
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
		if seen[l.Addr().String()] || seen[c.LocalAddr().String()] {
			t.Fatalf("%s was given out", l.Addr())
		}
	}
	for _, a := range given {
		l, err := net.Listen("tcp", a)
		if err != nil {
			t.Fatal(err)
		}
		l.Close()
	}
}
