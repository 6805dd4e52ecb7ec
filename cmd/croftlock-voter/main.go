// Command croftlock-voter is croftlock with the voters that keep their votes on a disk: (owners (dir ...)). It is a program of its own since the
// library that they need costs each start some milliseconds, which a proxy with a small part of a core feels.
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
