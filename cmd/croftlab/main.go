// Command croftlab runs croftlock's experiments: real processes against stand-ins on loopback. It is never part of a
// proxy's service.
package main

import (
	"os"

	"croftlock/internal/lab"
)

func main() { os.Exit(lab.Main(os.Args[1:])) }
