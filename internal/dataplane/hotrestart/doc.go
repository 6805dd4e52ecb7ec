// Package hotrestart replaces a running proxy process with a new one while the proxy serves.
//
// The new process requests the old one's listening sockets and a snapshot of its state over a Unix
// socket in the private directory that the platform gives to each proxy (RequestHandover,
// OfferHandover). Each process is the other's partner: the two stay connected and exchange messages
// until one of them ends (Partner). State that must survive the end of both is in a
// state file in the same directory (Store, ReadState). The package owns the socket, the file and
// their formats; its caller decides when to take over and what to do with the state.
package hotrestart
