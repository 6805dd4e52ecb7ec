// Package hotrestart carries a proxy from one process to the next while it serves.
//
// The new process requests from the old one, over a Unix socket in the platform's private folder, its listening sockets and a snapshot of
// what it knows (RequestHandover, OfferHandover). Both stay connected until one of them ends (Partner). What must survive the end of both is in a
// state file there (Store, Read). The package owns that socket, that file and their forms; when to take over and what follows from
// it is decided by its caller.
package hotrestart
