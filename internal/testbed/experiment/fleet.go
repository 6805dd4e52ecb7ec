package experiment

import (
	"fmt"
	"io"
	"sort"
	"strings"
	"text/tabwriter"
	"time"

	"croftlock/internal/testbed/fleetlog"

	"github.com/spf13/cobra"
)

// fleetCommand returns the command that analyses a directory of logs.
func fleetCommand() *cobra.Command {
	var window, warmUp, peakWindow, objective time.Duration
	c := &cobra.Command{Use: "fleet LOGDIR", Short: "Count over the logs of many proxies, on one time axis",
		Long: "Reads each *.log in a folder as the log of one proxy, written with (log (level debug) (repeat 0)), and counts\n" +
			"what all of them did together: by time window, and by server.",
		Example: "  croftlock-experiment fleet logs --window 2s", Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			if window <= 0 || peakWindow <= 0 {
				return fmt.Errorf("--window and --fall must be above zero")
			}
			logs, err := fleetlog.ReadDir(args[0])
			if err != nil {
				return err
			}
			if err := printFleet(cmd.OutOrStdout(), logs, fleetlog.Count(logs, window, warmUp, peakWindow)); err != nil {
				return err
			}
			return printLoss(cmd.OutOrStdout(), fleetlog.CountLoss(logs, objective))
		}}
	c.Flags().DurationVar(&window, "window", 2*time.Second, "length of a time window")
	c.Flags().DurationVar(&warmUp, "warm", 23*time.Second, "how long a host is warming up after its start")
	c.Flags().DurationVar(&peakWindow, "fall", 2*time.Second, "window for the peak of attempts at a warming host")
	c.Flags().DurationVar(&objective, "aim", 250*time.Millisecond, "latency objective of messages")
	return c
}

// printLoss prints for how long clients were not connected, or connected to overloaded or slow hosts,
// by cause.
func printLoss(w io.Writer, loss *fleetlog.Loss) error {
	total := max(loss.Total(), 1e-9)
	fmt.Fprintf(w, "\nclient seconds %.0f: good %.1f%%, on overloaded hosts %.1f%%, on slow hosts %.1f%%, "+
		"waiting %.1f%%, after a broken connection %.1f%%, after a rejection %.1f%%, after a migration %.1f%%\n",
		loss.Total(), 100*loss.Good/total, 100*loss.Overloaded/total, 100*loss.Slow/total, 100*loss.Waiting/total, 100*loss.Broken/total, 100*loss.Rejected/total, 100*loss.Migrated/total)
	fmt.Fprintf(w, "largest share of a host over the mean, by weight: median %.2f, max %.2f\n", loss.MedianSpread, loss.MaxSpread)
	table := tabwriter.NewWriter(w, 0, 8, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(table, "\nhost\testablished s\toverloaded s\tslow s\tbroken\tshare, mean\tmax\t")
	for _, h := range loss.Hosts[:min(10, len(loss.Hosts))] {
		fmt.Fprintf(table, "%s\t%.0f\t%.0f\t%.0f\t%.0f\t%.2f\t%.2f\t\n", h.Name, h.Connected, h.Overloaded, h.Slow, h.Broken, h.MeanShare, h.MaxShare)
	}
	return table.Flush()
}

// printFleet prints the counts of all proxies, by time window and by host.
func printFleet(out io.Writer, log *fleetlog.Log, fleet *fleetlog.Fleet) error {
	fmt.Fprintf(out, "%d proxies, %d events, %d lines skipped, from %s\n\n", log.Proxies, len(log.Events), log.Skipped,
		fleet.Start.Format(time.RFC3339))
	t := tabwriter.NewWriter(out, 0, 8, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "s\trequests\treturned\tattempts\testablished\trejected\tfailed\tbroken\topen\tgroup placements\tstarted\tdiscovery failed\t")
	for _, w := range fleet.Windows {
		var failures []string
		for status, n := range w.Failed {
			failures = append(failures, fmt.Sprintf("%s %d", status, n))
		}
		sort.Strings(failures)
		fmt.Fprintf(t, "%.0f\t%d\t%d\t%d\t%d\t%d\t%s\t%d\t%d\t%d\t%d\t%d\t\n", w.From.Seconds(), w.Requests, w.Returned, w.Attempts,
			w.Established, w.Rejected, strings.Join(failures, ", "), w.Broken, w.Open, w.Placements, w.ProcessStarts, w.DiscoveryFailed)
	}
	fmt.Fprintln(t, "\nhost\tzone\tweight\tattempts\twhile warming up\tpeak of these\topen\tslowest ms\t\t\t\t\t")
	for _, h := range fleet.Hosts {
		fmt.Fprintf(t, "%s\t%s\t%g\t%d\t%d\t%d\t%d\t%.0f\t\t\t\t\t\n", h.Name, h.Zone, h.Weight, h.Attempts, h.WarmUpAttempts, h.WarmUpPeak, h.Open,
			h.MaxDelayMS)
	}
	if err := t.Flush(); err != nil {
		return err
	}
	_, err := fmt.Fprintf(out, "\nattempts a request %.2f\n", float64(fleet.Attempts)/float64(max(1, fleet.Requests)))
	return err
}
