// Package fragment carries messages of up to 200 KiB between a fleet's processes in datagrams of at most 256 bytes. It decides what is retransmitted,
// reassembles messages, and bounds the memory for both. It does no I/O and reads no clock.
//
// A message that fits one datagram is sent once and may be lost, which its user must bear. A longer one is sent in pieces, which are retransmitted
// until all are acknowledged, GiveUpAfter has passed, or newer messages take its place. Messages may arrive late and out of order, never
// incomplete, and a long one never twice from the same incarnation of its sender. A peer is another process, known by its member id.
package fragment
