// Command croftlock-voter is croftlock with replicas that store their votes on disk, as the setting
// (owners (dir ...)) requires. It is a separate program to keep the library for that store out of
// croftlock.
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
