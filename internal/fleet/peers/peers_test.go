package peers

import (
	"bytes"
	"net"
	"testing"
	"time"

	"croftlock/internal/dataplane/netio"
)

// received is a datagram that a link received, with the number of the peer that sent it.
type received struct {
	from int
	data []byte
}

// openLinks returns n open links on loopback, which are peers of one another with the numbers 0 to
// n-1, and for each a channel of the datagrams that it receives. The links are closed at the end of
// the test.
func openLinks(t *testing.T, n int) ([]*Link, []chan received) {
	t.Helper()
	var addrs []string
	for range n { // the kernel does not reassign a port for a while after it is closed
		c, err := net.ListenPacket("udp4", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		addrs = append(addrs, c.LocalAddr().String())
		c.Close()
	}
	var links []*Link
	var channels []chan received
	for i := 0; i < n; i++ {
		loop := netio.NewLoop()
		go loop.Run()
		t.Cleanup(loop.Stop)
		ch := make(chan received, 1000)
		channels = append(channels, ch)
		link, err := Open(loop, Addresses{Listen: addrs[i], Peers: addrs}, i, -1, func(from int, data []byte) {
			ch <- received{from, data}
		})
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(link.Close)
		link.StartReceiving()
		links = append(links, link)
	}
	return links, channels
}

// receiveNext waits up to 10 s for a datagram and returns it.
func receiveNext(t *testing.T, ch chan received) received {
	t.Helper()
	select {
	case r := <-ch:
		return r
	case <-time.After(10 * time.Second):
		t.Fatal("no datagram received within 10 s")
	}
	return received{}
}

// TestSendToOneAndAll checks that SendToPeer sends to the peer with the number, and with a negative
// number to all proxies but the sender.
func TestSendToOneAndAll(t *testing.T) {
	links, channels := openLinks(t, 4)
	links[1].SendToPeer(3, []byte("one"))
	if r := receiveNext(t, channels[3]); r.from != 1 || string(r.data) != "one" {
		t.Fatalf("peer 3 received %q from peer %d, want \"one\" from peer 1", r.data, r.from)
	}
	links[2].SendToPeer(-1, []byte("all"))
	for _, i := range []int{0, 1, 3} {
		if r := receiveNext(t, channels[i]); r.from != 2 || string(r.data) != "all" {
			t.Fatalf("peer %d received %q from peer %d, want \"all\" from peer 2", i, r.data, r.from)
		}
	}
	if len(channels[2]) > 0 {
		t.Fatal("SendToPeer(-1) sent the datagram to its sender")
	}
}

// TestDropsUnknownAndLong checks that received datagrams that are too long or from an address of no
// peer are dropped and counted, and that invalid datagrams are not sent.
func TestDropsUnknownAndLong(t *testing.T) {
	links, channels := openLinks(t, 2)
	to := links[0].conn.LocalAddr().(*net.UDPAddr)
	c, err := net.DialUDP("udp4", nil, to)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	c.Write([]byte("stranger"))
	links[1].conn.WriteToUDP(bytes.Repeat([]byte("x"), MaxDatagramBytes+1), to)
	for until := time.Now().Add(10 * time.Second); links[0].Dropped() < 2 && time.Now().Before(until); {
		time.Sleep(time.Millisecond)
	}
	if links[0].Dropped() != 2 || len(channels[0]) > 0 {
		t.Fatalf("Dropped() = %d, want 2; %d datagrams received, want 0", links[0].Dropped(), len(channels[0]))
	}
	links[1].SendToPeer(0, bytes.Repeat([]byte("y"), MaxDatagramBytes+1)) // none of these three is sent
	links[1].SendToPeer(7, []byte("nobody"))
	links[1].SendToPeer(0, nil)
	links[1].SendToPeer(0, bytes.Repeat([]byte("z"), MaxDatagramBytes))
	if r := receiveNext(t, channels[0]); len(r.data) != MaxDatagramBytes || r.data[0] != 'z' {
		t.Fatalf("received %q, want %d bytes of \"z\"", r.data, MaxDatagramBytes)
	}
}

// TestInvalidAddresses checks that Open rejects addresses that are not an IP address with a port.
func TestInvalidAddresses(t *testing.T) {
	for _, a := range []Addresses{{Listen: ""}, {Listen: "x:1"}, {Listen: "127.0.0.1:0", Peers: []string{"y"}},
		{Listen: "127.0.0.1:0", Broadcast: "z"}} {
		if link, err := Open(netio.NewLoop(), a, 0, -1, nil); err == nil {
			link.Close()
			t.Errorf("Open(%+v) succeeded, want an error", a)
		}
	}
}
