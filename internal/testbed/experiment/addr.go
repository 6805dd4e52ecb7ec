package experiment

import (
	"fmt"
	"net"
	"os"
	"sync/atomic"
)

// addrCount counts the addresses that FreeAddr has returned.
var addrCount atomic.Uint32

// Each process has its own loopback network, chosen by its process ID, so that concurrent experiments
// do not use the same addresses.
const (
	processNetworks = 250   // number of loopback networks, which differ in the second byte
	processPorts    = 20000 // number of ports, which distinguish processes on one network
	firstPort       = 10000 // lowest port
	maxAddrAttempts = 1000  // addresses that FreeAddr tries before it returns an error
)

// ProcessPort returns the port of this process, which other processes on its loopback network do not
// use.
func ProcessPort() int { return firstPort + os.Getpid()/processNetworks%processPorts }

// ProcessNetwork returns the second byte of this process's loopback addresses.
func ProcessNetwork() int { return 1 + os.Getpid()%processNetworks }

// FreeAddr returns a loopback address on which no process listens and which no other call returns. It
// does not use a free port of 127.0.0.1, since a connection could take that port before the process
// listens on it.
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
	return "", fmt.Errorf("none of the %d loopback addresses tried is free", maxAddrAttempts)
}
