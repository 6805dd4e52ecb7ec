package ownership

// FaultInjection breaks individual properties of this package, to show that the checks of simulations
// and experiments detect it. Only they set it. The zero value breaks nothing.
type FaultInjection struct {
	// SkipAbstention makes a voter of a Quorum grant leases as soon as it has started. The voter may have
	// granted a lease to another candidate just before its restart, so two can lead at the same time,
	// which Quorum must prevent.
	SkipAbstention bool
	// StartLeaseAtReply makes the holder count a lease from the arrival of the reply and not from the
	// request. The lease then ends at the holder later, by as long as the reply took, which can be
	// after its end at the grantor. This breaks the lease property, for owners and for the leader of a
	// Quorum.
	StartLeaseAtReply bool
	// ForgetTokens makes a Fence, which rejects what former owners of a job send, accept everything.
	// This breaks fencing.
	ForgetTokens bool
}
