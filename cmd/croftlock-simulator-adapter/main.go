// Command croftlock-simulator-adapter hosts decision modules on the simulator's wire: batches of events on standard input, one reply a
// line on standard output.
package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"os"

	"croftlock/internal/balancer"
	"croftlock/internal/testbed/simulator"
)

func main() {
	if err := serve(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "croftlock-simulator-adapter:", err)
		os.Exit(1)
	}
}

func serve(in io.Reader, out io.Writer) error {
	adapter := simulator.NewAdapter(balancer.New)
	r := bufio.NewReaderSize(in, 1<<20)
	w := bufio.NewWriterSize(out, 1<<20)
	for {
		line, err := r.ReadBytes('\n')
		if len(bytes.TrimSpace(line)) > 0 {
			reply, bad := adapter.Batch(line)
			if bad != nil {
				return bad
			}
			if _, bad := w.Write(reply); bad != nil {
				return bad
			}
			if bad := w.Flush(); bad != nil {
				return bad
			}
		}
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
	}
}
