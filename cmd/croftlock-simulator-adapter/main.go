// Command croftlock-simulator-adapter runs decision modules for the simulator. It reads batches of
// events from standard input, one per line, and writes one line of reply for each to standard
// output.
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

// bufferBytes is the size of the input and output buffers, which hold most batches and replies as a
// whole.
const bufferBytes = 1 << 20

func main() {
	if err := serve(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "croftlock-simulator-adapter:", err)
		os.Exit(1)
	}
}

// serve writes one line of reply for each batch in the input. It returns nil at the end of the
// input, and an error if a batch is invalid or reading or writing fails.
func serve(in io.Reader, out io.Writer) error {
	adapter := simulator.NewAdapter(balancer.New)
	r := bufio.NewReaderSize(in, bufferBytes)
	w := bufio.NewWriterSize(out, bufferBytes)
	for {
		line, err := r.ReadBytes('\n')
		if len(bytes.TrimSpace(line)) > 0 {
			reply, batchErr := adapter.HandleBatch(line)
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
