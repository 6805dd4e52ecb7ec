package ownership

// FaultInjection breaks single properties of this package, to show that the checks of simulations and experiments find it. Only these set it;
// the zero value breaks nothing.
type FaultInjection struct {
	// SkipAbstention has a voter without a disk grant the lead from its start on. It may have granted it to another just before, so two can
	// lead at a time: breaks the first guarantee of Quorum.
	SkipAbstention bool
	// StartLeaseAtReply counts a lease from when it was granted and not from its request. It ends at its holder after it ended at the grantor,
	// by as long as the answer took: breaks the lease property, for owners and for the lead of a Quorum.
	StartLeaseAtReply bool
	// ForgetTokens has a Fence remember nothing and accept every effect: breaks fencing.
	ForgetTokens bool
}
