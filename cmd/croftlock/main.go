// Command croftlock is one proxy: it takes clients' connections, places each at an upstream host as the decision
// module says, and carries its lines until it ends. Its sub-commands check configurations and make certificates.
package main

import (
	"os"

	"croftlock/internal/app/command"
)

func main() { os.Exit(command.Run(os.Args[1:], os.Getenv)) }
