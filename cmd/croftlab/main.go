// Command croftlab runs croftlock's experiments: real processes against stand-ins on loopback. It is never part of a
// proxy's service.
package main

import (
	"os"

	"croftlock/internal/command"
	"croftlock/internal/lab"
	"croftlock/internal/lab/soak"
	"croftlock/internal/owners"
	"croftlock/internal/voter"
)

func main() {
	soak.BehindShim()
	owners.OpenVoter = voter.Open
	if owners.Planted = os.Getenv(lab.PlantedEnv); owners.Planted != "" {
		os.Exit(command.Run(os.Args[1:], os.Getenv)) // the program itself, with a fault that an experiment has to find
	}
	os.Exit(lab.Main(os.Args[1:], soak.Command()))
}
