package jobs

import (
	"fmt"
	"sort"
	"strings"

	"croftlock/internal/fleet/ownership"
)

const (
	// commandTimeout is how long the answer to a command waits for the receivers.
	commandTimeout = 2 * sec
	// storeRetryDelay is the time after a command from which on each step stores the list again, until the group has reported it.
	storeRetryDelay = 300 * ms
	// resendInterval is the time until a list is sent again to a member that has not acknowledged it.
	resendInterval = 500 * ms
)

// SuspendedHosts is the job of the hosts that operators suspend fleet-wide. Its owner orders the commands. Each effect is the complete
// list, so that one that arrives late is superseded and not needed. A list is sent only once the group has stored it: a later owner has it then.
type SuspendedHosts struct {
	// Apply applies the list at this process; nil: it is not applied.
	Apply func(hosts []string)

	owner            Owner
	token            uint64
	listNumber       uint64 // of the present list; rises with each command, and numbers checkpoints and effects
	storedListNumber uint64 // the highest list number that the group has stored
	hosts            hostList
	acknowledged     map[receiver]uint64 // number of the list that a receiver has
	sentAt           map[receiver]Time   // when the list was last sent
	waiting          []*waitingCommand
}

// receiver is one process: after a restart a member is another receiver, which has no list.
type receiver struct {
	peer        uint32
	incarnation uint64
}

// waitingCommand is a command that is not answered yet.
type waitingCommand struct {
	from          uint32
	tag           uint64
	minListNumber uint64 // of the list that holds it
	deadline      Time
	listStored    bool   // the group has stored that list
	listAnswer    string // the answer to commandList; "": another command
}

// Start takes the list over from the checkpoint.
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

// QueryReceived takes an operator's command. The list is stored and sent also where the command changes nothing: the answer says which proxies
// have it, and a list that the group has stored is surely not a stale owner's.
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

func (h *SuspendedHosts) storeList() {
	if err := h.owner.StoreCheckpoint(h.listNumber, h.hosts.encode()); err != nil {
		h.answerAllCommands()
	}
}

// CheckpointStored sends the list once the group has stored it. A rejected one is a stale owner's, which is about to be stopped.
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

// sendList sends the list to the receivers that have not acknowledged it. While a newer list is being stored nothing is sent.
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

// sendDue bounds how often a list is repeated. A new one is sent at once to a receiver that has the one before.
func (h *SuspendedHosts) sendDue(to receiver, now Time) bool {
	return now-h.sentAt[to] >= resendInterval || h.sentAt[to] == 0 || h.acknowledged[to]+1 == h.listNumber
}

// Step stores and sends again what may be lost, and answers commands whose time is up.
func (h *SuspendedHosts) Step(now Time) {
	if h.storeOverdue(now) {
		h.storeList() // the first request may have been lost
	}
	h.sendList(now)
	h.answerDueCommands(now)
}

// storeOverdue reports whether the group should have reported the list by now.
func (h *SuspendedHosts) storeOverdue(now Time) bool {
	if h.storedListNumber == h.listNumber || len(h.waiting) == 0 {
		return false
	}
	last := h.waiting[len(h.waiting)-1]
	return now-last.deadline > storeRetryDelay-commandTimeout
}

// EffectAcknowledged records that a receiver has a list.
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

// answerDueCommands answers the commands that every member has applied, and those whose time is up.
func (h *SuspendedHosts) answerDueCommands(now Time) {
	h.answerCommands(func(w *waitingCommand) bool { return now >= w.deadline })
}

// answerAllCommands answers all commands: the lease has ended, and this owner will not learn their result.
func (h *SuspendedHosts) answerAllCommands() {
	h.answerCommands(func(*waitingCommand) bool { return true })
}

// answerCommands answers the commands that are done, and those that are due with what is known of them. The texts are recorded.
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

func (h *SuspendedHosts) reply(w *waitingCommand, format string, args ...any) {
	h.owner.Reply(w.from, w.tag, []byte(fmt.Sprintf(format, args...)))
}

// membersWithout gives how many members there are, and the names of those that do not have a list, sorted.
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

// ApplyEffect applies a list here. One that can't be decoded changes nothing.
func (h *SuspendedHosts) ApplyEffect(_ Time, _ ownership.FencingToken, body []byte) {
	if hosts, err := decodeHostList(body); err == nil && h.Apply != nil {
		h.Apply(hosts)
	}
}
