// Command croftlock is a proxy for long-lived connections. It accepts clients' connections, places
// each at an upstream host that the decision module selects, and relays its lines until it ends.
// Its sub-commands check configurations, make certificates, and query and change the fleet of a
// running proxy.
package main

import (
	"os"

	"croftlock/internal/app/command"
)

func main() { os.Exit(command.Run(os.Args[1:], os.Getenv)) }
