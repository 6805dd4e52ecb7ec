// Command croftlock-experiment runs croftlock's experiments: real processes against fakes on loopback. It is never part of a
// proxy's service.
package main

import (
	"os"

	"croftlock/internal/app/command"
	"croftlock/internal/fleet/owneragent"
	"croftlock/internal/fleet/replica"
	"croftlock/internal/testbed/experiment"
	"croftlock/internal/testbed/experiment/soak"
)

func main() {
	soak.BehindShim()
	owneragent.OpenVoter = replica.Open
	if owneragent.PlantedFault = os.Getenv(experiment.PlantedEnv); owneragent.PlantedFault != "" {
		os.Exit(command.Run(os.Args[1:], os.Getenv)) // the program itself, with a fault that an experiment has to find
	}
	os.Exit(experiment.Main(os.Args[1:], soak.Command()))
}
