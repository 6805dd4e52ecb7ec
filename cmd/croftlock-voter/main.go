// Command croftlock-voter is croftlock with replicas that store their votes on a disk: (owners (dir ...)). It is a program of its own since
// the library for that store slows each start by some milliseconds.
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
