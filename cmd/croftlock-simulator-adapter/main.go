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

// bufferBytes holds most batches and replies whole.
const bufferBytes = 1 << 20

func main() {
	if err := serve(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "croftlock-simulator-adapter:", err)
		os.Exit(1)
	}
}

// serve answers each batch with one line, until the input ends or a batch is invalid.
func serve(in io.Reader, out io.Writer) error {
	adapter := simulator.NewAdapter(balancer.New)
	r := bufio.NewReaderSize(in, bufferBytes)
	w := bufio.NewWriterSize(out, bufferBytes)
	for {
		line, err := r.ReadBytes('\n')
		if len(bytes.TrimSpace(line)) > 0 {
			reply, batchErr := adapter.Batch(line)
			if batchErr != nil {
				return batchErr
			}
			if _, writeErr := w.Write(reply); writeErr != nil {
				return writeErr
			}
			if flushErr := w.Flush(); flushErr != nil {
				return flushErr
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
