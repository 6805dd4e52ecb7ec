// Package fragment sends messages of up to 200 KiB between the processes of a fleet in datagrams of
// at most 256 bytes. It reassembles messages, retransmits what is lost, and bounds the memory for
// both. It does no I/O and reads no clock.
//
// A message that fits one datagram is sent once and may be lost; its user must tolerate that. A
// longer one is sent in pieces, which are retransmitted until all are acknowledged, GiveUpAfter has
// passed, or newer messages replace it. Messages may arrive late and out of order, but never
// incomplete, and a long one never twice from the same incarnation of its sender. A peer is another
// process, identified by its member ID.
package fragment
