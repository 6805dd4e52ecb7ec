package membership

// ChangeReason is the reason for which this process changed its view of a member.
type ChangeReason uint8

const (
	// reasonHeard: a datagram of the member arrived.
	reasonHeard ChangeReason = iota
	// reasonHeardByOther: another process has heard the member.
	reasonHeardByOther
	// reasonHeardAgain: this process or another one has heard a suspect.
	reasonHeardAgain
	// reasonOwnPause: this process was paused, so that the member's silence proves nothing.
	reasonOwnPause
	// reasonNewerIncarnation: the member had ended, and gossip reports a newer incarnation.
	reasonNewerIncarnation
	// reasonRestarted: another process runs under the member's name.
	reasonRestarted
	// reasonNoAnswer: the member answered neither this process nor those asked to probe it.
	reasonNoAnswer
	// reasonNotHeardLately: no process is known to have heard the member lately, and this process never did.
	reasonNotHeardLately
	// reasonSuspectedByOthers: gossip reports that the member does not answer.
	reasonSuspectedByOthers
	// reasonHeardByNobody: no process has heard the member for Config.UnreachableAfter, lengthened by
	// localHealth.
	reasonHeardByNobody
	// reasonIsolated: this process hears no datagrams at all and may itself be cut off.
	reasonIsolated
	// reasonUnreachableNeverHeard: gossip reports the member as unreachable, and this process never heard it.
	reasonUnreachableNeverHeard
	// reasonUnreachableToOthers: gossip reports the member as unreachable, and no process is known to have
	// heard it within Config.UnreachableAfter.
	reasonUnreachableToOthers
	// reasonUnreachableTooLong: the member was unreachable for Config.GoneAfter while this process saw a
	// majority alive.
	reasonUnreachableTooLong
	// reasonGoneToOthers: gossip reports the member as gone, and no process is known to have heard it
	// within Config.UnreachableAfter.
	reasonGoneToOthers
	// reasonAnnouncedShutdown: the member announced its graceful shutdown.
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

// String returns the reason as it appears in the log.
func (r ChangeReason) String() string {
	if int(r) < len(changeReasonNames) {
		return changeReasonNames[r]
	}
	return "unknown"
}
