package experiment

import (
	"fmt"
	"net"
	"os"
	"sync/atomic"
)

// addrsGiven counts the addresses that were given out.
var addrsGiven atomic.Uint32

// What the addresses of one process are made of: a loopback network of its own, in which it counts.
const (
	ownNetworks     = 250   // second numbers of loopback addresses, by process id
	ownPorts        = 20000 // ports, by process id, for processes of the same network
	firstPort       = 10000
	maxAddrAttempts = 1000
)

// OwnPort is a port that other processes of the same loopback network do not use.
func OwnPort() int { return firstPort + os.Getpid()/ownNetworks%ownPorts }

// OwnNetwork is the second number of this process's own loopback addresses.
func OwnNetwork() int { return 1 + os.Getpid()%ownNetworks }

// FreeAddr is an address that nothing listens on and that nothing else is given: a port of 127.0.0.1 that was free a moment ago can be any
// connection's by the time it is listened on.
func FreeAddr() (string, error) {
	for range maxAddrAttempts {
		k := int(addrsGiven.Add(1))
		addr := fmt.Sprintf("127.%d.%d.%d:%d", OwnNetwork(), 100+k/ownNetworks%150, 1+k%ownNetworks, OwnPort())
		l, err := net.Listen("tcp", addr)
		if err != nil {
			continue // a process before this one with the same number has left it behind
		}
		l.Close()
		return addr, nil
	}
	return "", fmt.Errorf("no address of %d is free", maxAddrAttempts)
}
