// Command croftlock-experiment runs croftlock's experiments, with real processes against fakes on
// the loopback interface. It is for testing only and is not part of a proxy's service.
package main

import (
	"fmt"
	"os"

	"croftlock/internal/app/command"
	"croftlock/internal/fleet/owneragent"
	"croftlock/internal/fleet/replica"
	"croftlock/internal/testbed/experiment"
	"croftlock/internal/testbed/experiment/soak"
)

func main() {
	soak.ExecBehindShim()
	owneragent.OpenVoter = replica.Open
	if fault := os.Getenv(experiment.FaultInjectionEnv); fault != "" {
		os.Exit(runWithFault(fault))
	}
	os.Exit(experiment.Main(os.Args[1:], soak.Command()))
}

// runWithFault runs croftlock in this process with the injected fault name, which an experiment
// must detect. It returns the exit status.
func runWithFault(name string) (status int) {
	faults, err := owneragent.ParseFaultInjection(name)
	if err != nil {
		fmt.Fprintln(os.Stderr, "croftlock-experiment:", err)
		return 1
	}
	owneragent.Faults = faults
	return command.Run(os.Args[1:], os.Getenv)
}
