package ownership

// FaultInjection breaks individual properties of this package, to show that the checks of simulations
// and experiments detect it. Only they set it. The zero value breaks nothing.
type FaultInjection struct {
	// SkipAbstention makes a voter of a Quorum grant leases as soon as it has started. It may have
	// granted one to another candidate just before the restart, so two can lead at the same time. This
	// breaks the first guarantee of Quorum.
	SkipAbstention bool
	// StartLeaseAtReply makes the holder count a lease from the arrival of the reply and not from the
	// request. The lease then ends at the holder later, by as long as the reply took, which can be
	// after its end at the grantor. This breaks the lease property, for owners and for the leader of a
	// Quorum.
	StartLeaseAtReply bool
	// ForgetTokens makes a Fence accept every effect. This breaks fencing.
	ForgetTokens bool
}
