package owneragent

import (
	"fmt"

	"croftlock/internal/fleet/ownership"
)

// FaultInjection breaks single properties of a process, to show that the checks of experiments find it. The zero value breaks nothing.
type FaultInjection struct {
	Ownership ownership.FaultInjection
	// ExtendRulesLease has this process act by rules for lapseFaultFactor times their lease: breaks the bound on how long two proxies act by
	// rules that contradict each other.
	ExtendRulesLease bool
}

// Faults are injected into every Agent of this process. Only croftlock-experiment sets them, before anything is started: no file and no
// argument of the program does.
var Faults FaultInjection

// ParseFaultInjection gives the fault that experiments call by a name: forget or lapse; "": none.
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
