package experiment

import (
	"fmt"
	"net"
	"os"
	"sync/atomic"
)

// addrCount counts the addresses that FreeAddr has returned.
var addrCount atomic.Uint32

// Each process takes its addresses from a loopback network of its own.
const (
	processNetworks = 250   // second numbers of loopback addresses, by process id
	processPorts    = 20000 // ports, by process id, for processes of the same network
	firstPort       = 10000
	maxAddrAttempts = 1000
)

// ProcessPort is a port that other processes of the same loopback network do not use.
func ProcessPort() int { return firstPort + os.Getpid()/processNetworks%processPorts }

// ProcessNetwork is the second number of this process's own loopback addresses.
func ProcessNetwork() int { return 1 + os.Getpid()%processNetworks }

// FreeAddr is an address that no process listens on and no other call returns. A free port of 127.0.0.1 would not do: a connection may
// take it before the process listens on it.
func FreeAddr() (string, error) {
	for range maxAddrAttempts {
		number := int(addrCount.Add(1))
		addr := fmt.Sprintf("127.%d.%d.%d:%d", ProcessNetwork(), 100+number/processNetworks%150, 1+number%processNetworks, ProcessPort())
		l, err := net.Listen("tcp", addr)
		if err != nil {
			continue // in use by an earlier process with the same number
		}
		l.Close()
		return addr, nil
	}
	return "", fmt.Errorf("no address of %d is free", maxAddrAttempts)
}
