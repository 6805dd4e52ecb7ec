package membership

// ChangeReason is the reason for which this process changed its view of a member.
type ChangeReason uint8

const (
	// reasonHeard means that a datagram of the member arrived.
	reasonHeard ChangeReason = iota
	// reasonHeardByOther means that another process has heard the member.
	reasonHeardByOther
	// reasonHeardAgain means that this process or another one has heard a suspect.
	reasonHeardAgain
	// reasonOwnPause means that this process was paused, so that the member's silence proves nothing.
	reasonOwnPause
	// reasonNewerIncarnation means that the member had ended, and gossip reports a newer incarnation.
	reasonNewerIncarnation
	// reasonRestarted means that another process than before runs under the member's name.
	reasonRestarted
	// reasonNoAnswer means that the member answered neither this process nor those asked to probe it.
	reasonNoAnswer
	// reasonNotHeardLately means that no process is known to have heard the member lately, and this
	// process never did.
	reasonNotHeardLately
	// reasonSuspectedByOthers means that gossip reports that the member does not answer.
	reasonSuspectedByOthers
	// reasonHeardByNobody means that no process has heard the member for Config.UnreachableAfter, lengthened
	// by the local health multiplier.
	reasonHeardByNobody
	// reasonIsolated means that this process hears no datagrams at all and may itself be cut off.
	reasonIsolated
	// reasonUnreachableNeverHeard means that gossip reports the member as unreachable, and this process
	// never heard it.
	reasonUnreachableNeverHeard
	// reasonUnreachableToOthers means that gossip reports the member as unreachable, and no process is
	// known to have heard it within Config.UnreachableAfter.
	reasonUnreachableToOthers
	// reasonUnreachableTooLong means that the member was unreachable for Config.GoneAfter while this
	// process saw a majority alive.
	reasonUnreachableTooLong
	// reasonGoneToOthers means that gossip reports the member as gone, and no process is known to have
	// heard it within Config.UnreachableAfter.
	reasonGoneToOthers
	// reasonAnnouncedShutdown means that the member announced its graceful shutdown.
	reasonAnnouncedShutdown
)

var changeReasonNames = [...]string{
	reasonHeard:                 "heard",
	reasonHeardByOther:          "heard_by_other",
	reasonHeardAgain:            "heard_again",
	reasonOwnPause:              "own_pause",
	reasonNewerIncarnation:      "newer_incarnation",
	reasonRestarted:             "restarted",
	reasonNoAnswer:              "no_answer",
	reasonNotHeardLately:        "not_heard_lately",
	reasonSuspectedByOthers:     "suspected_by_others",
	reasonHeardByNobody:         "heard_by_nobody",
	reasonIsolated:              "isolated",
	reasonUnreachableNeverHeard: "unreachable_never_heard",
	reasonUnreachableToOthers:   "unreachable_to_others",
	reasonUnreachableTooLong:    "unreachable_too_long",
	reasonGoneToOthers:          "gone_to_others",
	reasonAnnouncedShutdown:     "announced_shutdown",
}

// String returns the reason as it appears in the log, or "unknown" for a number that is no reason.
func (r ChangeReason) String() string {
	if int(r) < len(changeReasonNames) {
		return changeReasonNames[r]
	}
	return "unknown"
}
