// Command croftlock-voter is croftlock with replicas that store their votes on a disk: (owners (dir ...)). It is a program of its own to
// keep the library of that store out of croftlock.
package main

import (
	"os"

	"croftlock/internal/app/command"
	"croftlock/internal/fleet/owneragent"
	"croftlock/internal/fleet/replica"
)

func main() {
	owneragent.OpenVoter = replica.Open
	os.Exit(command.Run(os.Args[1:], os.Getenv))
}
