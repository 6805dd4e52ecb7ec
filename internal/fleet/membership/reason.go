package membership

// ChangeReason is why this process changed its view of a member.
type ChangeReason uint8

const (
	reasonHeard                 ChangeReason = iota // a datagram of its own arrived
	reasonHeardByOther                              // another process has heard it
	reasonHeardAgain                                // a suspect was heard, here or by another
	reasonOwnPause                                  // this process slept: its silence proves nothing
	reasonNewerIncarnation                          // it had ended, and gossip names a newer incarnation
	reasonRestarted                                 // another process under the same name
	reasonNoAnswer                                  // neither to this process nor to those requested to probe it
	reasonNotHeardLately                            // others have not heard it lately, and this process never did
	reasonSuspectedByOthers                         // gossip: it does not answer
	reasonHeardByNobody                             // within Config.UnreachableAfter, lengthened as localHealth says
	reasonIsolated                                  // this process hears nothing at all, and may be the one cut off
	reasonUnreachableNeverHeard                     // gossip: unreachable, and this process never heard it
	reasonUnreachableToOthers                       // gossip: unreachable, and nobody is known to have heard it within Config.UnreachableAfter
	reasonUnreachableTooLong                        // for Config.GoneAfter, while this process saw a majority alive
	reasonGoneToOthers                              // gossip: gone, and nobody is known to have heard it within Config.UnreachableAfter
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

// String is the reason as the log has it.
func (r ChangeReason) String() string {
	if int(r) < len(changeReasonNames) {
		return changeReasonNames[r]
	}
	return "unknown"
}
