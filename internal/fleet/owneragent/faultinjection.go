package owneragent

import (
	"fmt"

	"croftlock/internal/fleet/ownership"
)

// FaultInjection breaks single properties of a process, to show that the checks of experiments
// detect the violation. The zero value breaks nothing.
type FaultInjection struct {
	Ownership ownership.FaultInjection
	// ExtendRulesLease makes this process act by rules for lapseFaultFactor times their lease. It
	// breaks the bound on how long two proxies act by rules that contradict each other.
	ExtendRulesLease bool
}

// Faults holds the faults that are injected into every Agent of this process. Only
// croftlock-experiment sets it, before it starts anything. No settings file or argument of
// croftlock sets it.
var Faults FaultInjection

// ParseFaultInjection returns the fault with the name that experiments use for it: forget or lapse.
// An empty name means no fault.
func ParseFaultInjection(name string) (FaultInjection, error) {
	switch name {
	case "":
		return FaultInjection{}, nil
	case "forget":
		return FaultInjection{Ownership: ownership.FaultInjection{ForgetTokens: true}}, nil
	case "lapse":
		return FaultInjection{ExtendRulesLease: true}, nil
	}
	return FaultInjection{}, fmt.Errorf("owners: no fault %q to inject, expected forget or lapse", name)
}
