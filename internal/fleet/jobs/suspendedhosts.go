package jobs

import (
	"fmt"
	"sort"
	"strings"

	"croftlock/internal/fleet/ownership"
)

const (
	// commandTimeout is how long the answer to a command waits for the receivers to apply the list.
	commandTimeout = 2 * sec
	// storeRetryDelay is the time after a command from which each step stores the list again, until
	// the group reports it as stored.
	storeRetryDelay = 300 * ms
	// resendInterval is the time after which a list is sent again to a receiver that has not
	// acknowledged it.
	resendInterval = 500 * ms
)

// SuspendedHosts is the job that keeps the list of hosts that operators have suspended fleet-wide.
// Its owner serializes the commands. Each effect holds the complete list, so that a late
// effect, which the fence rejects, is not needed. A list is sent only once the group has stored it,
// so that a later owner starts with it.
type SuspendedHosts struct {
	// Apply applies the list at this process. If it is nil, the list is ignored.
	Apply func(hosts []string)

	owner            Owner  // nil while this process does not own the job
	token            uint64 // the owner's token
	listNumber       uint64 // of the current list, its checkpoint and its effects; increases with each command
	storedListNumber uint64 // highest list number that the group has stored
	hosts            hostList
	acknowledged     map[receiver]uint64 // number of the latest list that each receiver has applied; 0 if none
	sentAt           map[receiver]Time   // when a list was last sent to each receiver; 0 if never
	waiting          []*waitingCommand   // the oldest first
}

// receiver identifies a process that receives the list. A restarted member is a new receiver, which
// does not have the list.
type receiver struct {
	peer        uint32
	incarnation uint64
}

// waitingCommand is a command that has not been answered yet.
type waitingCommand struct {
	from          uint32
	tag           uint64
	minListNumber uint64 // number of the first list that reflects the command
	deadline      Time   // when it is answered even if receivers are missing
	listStored    bool   // whether the group has stored that list or a later one
	listAnswer    string // answer to a commandList; empty for other commands
}

// Start continues with the list of the checkpoint.
func (h *SuspendedHosts) Start(_ Time, o Owner, token, checkpointNumber uint64, checkpoint []byte) error {
	hosts, err := decodeHostList(checkpoint)
	if err != nil {
		return err
	}
	h.owner, h.token, h.hosts = o, token, hosts
	h.listNumber, h.storedListNumber = checkpointNumber, checkpointNumber
	h.acknowledged, h.sentAt, h.waiting = map[receiver]uint64{}, map[receiver]Time{}, nil
	return nil
}

// Stop ends the owner's part. The checkpoint is the list.
func (h *SuspendedHosts) Stop() (uint64, []byte) {
	h.owner = nil
	h.listNumber++
	return h.listNumber, h.hosts.encode()
}

// QueryReceived executes an operator's command. Even if the command does not change the list, the
// list gets a new number, and is stored and then sent. That way the answer reports which members have
// the list, and shows that this owner is not stale, since the group stores nothing for a stale owner.
func (h *SuspendedHosts) QueryReceived(now Time, from uint32, tag uint64, body []byte) {
	if h.owner == nil {
		return
	}
	command, err := decodeHostCommand(body)
	if err != nil {
		h.owner.Reply(from, tag, []byte("refused: a host's id of 1 to 128 bytes is expected"))
		return
	}
	hosts, ok := h.hosts.apply(command)
	if !ok {
		h.owner.Reply(from, tag, []byte(fmt.Sprintf("refused: %d hosts are out already", len(h.hosts))))
		return
	}
	h.hosts = hosts
	h.listNumber++
	w := &waitingCommand{from: from, tag: tag, minListNumber: h.listNumber, deadline: now + commandTimeout}
	if command.kind == commandList {
		w.listAnswer = "out for the fleet: " + strings.Join(h.hosts, " ")
	}
	h.waiting = append(h.waiting, w)
	h.storeList()
}

// storeList asks the group to store the list. If that fails, as when the lease has ended, it
// answers all commands.
func (h *SuspendedHosts) storeList() {
	if err := h.owner.StoreCheckpoint(h.listNumber, h.hosts.encode()); err != nil {
		h.answerAllCommands()
	}
}

// CheckpointStored sends the list once the group has stored it. It ignores a rejection, which means
// that this owner is stale and will be stopped.
func (h *SuspendedHosts) CheckpointStored(now Time, checkpointNumber uint64, stored bool) {
	if h.owner == nil || !stored {
		return
	}
	h.storedListNumber = max(h.storedListNumber, checkpointNumber)
	for _, w := range h.waiting {
		w.listStored = w.listStored || w.minListNumber <= checkpointNumber
	}
	h.sendList(now)
	h.answerDueCommands(now)
}

// sendList sends the list to the receivers that have not acknowledged it. It sends nothing until the
// group has stored the current list.
func (h *SuspendedHosts) sendList(now Time) {
	if h.storedListNumber == 0 || h.storedListNumber != h.listNumber {
		return
	}
	for _, m := range h.owner.Members() {
		to := receiver{m.Peer, m.Incarnation}
		if m.Present && h.acknowledged[to] < h.listNumber && h.sendDue(to, now) {
			h.sentAt[to] = now
			h.owner.SendEffect(m.Peer, h.listNumber, h.hosts.encode())
		}
	}
}

// sendDue reports whether the list may be sent to a receiver now: at most once per resendInterval,
// except that a receiver with the previous list is sent a new one at once.
func (h *SuspendedHosts) sendDue(to receiver, now Time) bool {
	return now-h.sentAt[to] >= resendInterval || h.sentAt[to] == 0 || h.acknowledged[to]+1 == h.listNumber
}

// Step stores and sends the list again if a message may have been lost, and answers the commands
// whose deadline has passed.
func (h *SuspendedHosts) Step(now Time) {
	if h.storeOverdue(now) {
		h.storeList() // the first request may have been lost
	}
	h.sendList(now)
	h.answerDueCommands(now)
}

// storeOverdue reports whether the group has not reported the list within storeRetryDelay of the
// last command. It returns false if no command waits.
func (h *SuspendedHosts) storeOverdue(now Time) bool {
	if h.storedListNumber == h.listNumber || len(h.waiting) == 0 {
		return false
	}
	last := h.waiting[len(h.waiting)-1]
	return now-last.deadline > storeRetryDelay-commandTimeout
}

// EffectAcknowledged records which list a receiver has. A duplicate counts, as the receiver has that
// list or a later one.
func (h *SuspendedHosts) EffectAcknowledged(now Time, from uint32, token ownership.FencingToken, v ownership.Verdict) {
	if h.owner == nil || token.Token != h.token || v == ownership.Stale {
		return
	}
	for _, m := range h.owner.Members() {
		if m.Peer == from {
			r := receiver{from, m.Incarnation}
			h.acknowledged[r] = max(h.acknowledged[r], token.Sequence)
		}
	}
	h.answerDueCommands(now)
}

// answerDueCommands answers the commands that are complete and those whose deadline has passed.
func (h *SuspendedHosts) answerDueCommands(now Time) {
	h.answerCommands(func(w *waitingCommand) bool { return now >= w.deadline })
}

// answerAllCommands answers all commands. It is called if this owner can't learn their results, as
// when its lease has ended.
func (h *SuspendedHosts) answerAllCommands() {
	h.answerCommands(func(*waitingCommand) bool { return true })
}

// answerCommands answers the commands that are complete: those whose list every member has applied,
// and list commands once the list is stored. It answers the others that are due with what is known
// so far. Tests and experiments match the texts.
func (h *SuspendedHosts) answerCommands(due func(w *waitingCommand) bool) {
	waiting := h.waiting[:0]
	for _, w := range h.waiting {
		total, missing := h.membersWithout(w.minListNumber)
		switch {
		case w.listStored && w.listAnswer != "":
			h.reply(w, "%s", w.listAnswer)
		case w.listStored && len(missing) == 0:
			h.reply(w, "done at all %d", total)
		case !due(w):
			waiting = append(waiting, w)
		case w.listStored:
			h.reply(w, "done at %d of %d; it holds, and follows at: %s", total-len(missing), total, strings.Join(missing, " "))
		default:
			h.reply(w, "unknown: the voters did not say whether they have kept it; ask again")
		}
	}
	h.waiting = waiting
}

// reply answers a command with a formatted text.
func (h *SuspendedHosts) reply(w *waitingCommand, format string, args ...any) {
	h.owner.Reply(w.from, w.tag, []byte(fmt.Sprintf(format, args...)))
}

// membersWithout returns the number of members, and the sorted names of those that have not
// acknowledged the list with this number or a later one.
func (h *SuspendedHosts) membersWithout(number uint64) (total int, names []string) {
	for _, m := range h.owner.Members() {
		total++
		if h.acknowledged[receiver{m.Peer, m.Incarnation}] < number {
			names = append(names, m.Name)
		}
	}
	sort.Strings(names)
	return total, names
}

// ApplyEffect applies a list at this process. It ignores a list that can't be decoded.
func (h *SuspendedHosts) ApplyEffect(_ Time, _ ownership.FencingToken, body []byte) {
	if hosts, err := decodeHostList(body); err == nil && h.Apply != nil {
		h.Apply(hosts)
	}
}
