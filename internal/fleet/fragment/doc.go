// Package fragment carries messages of up to 200 KiB between a fleet's processes in datagrams of at most 256 bytes. It decides what is sent
// again, reassembles what has arrived in part, and bounds the memory for both. It does no I/O and reads no clock.
//
// A message that fits one datagram is sent once and may be lost, which its user must bear. A longer one is sent in pieces; those that are not
// acknowledged are sent again until all have arrived, GiveUpAfter has passed, or newer messages take its place. Messages may arrive late and
// in another order, never incomplete, and a long one never twice from the same incarnation of its sender.
package fragment
