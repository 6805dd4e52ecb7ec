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

// fleetCommand analyses a folder of logs.
func fleetCommand() *cobra.Command {
	var window, warm, fall, objective time.Duration
	c := &cobra.Command{Use: "fleet LOGDIR", Short: "Count over the logs of many proxies, on one time axis",
		Long: "Reads each *.log in a folder as the log of one proxy, written with (log (level debug) (repeat 0)), and counts\n" +
			"what all of them did together: by time window, and by server.",
		Example: "  croftlock-experiment fleet logs --window 2s", Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			if window <= 0 || fall <= 0 {
				return fmt.Errorf("--window and --fall have to be above zero")
			}
			logs, err := fleetlog.ReadDir(args[0])
			if err != nil {
				return err
			}
			if err := printFleet(cmd.OutOrStdout(), logs, fleetlog.Count(logs, window, warm, fall)); err != nil {
				return err
			}
			return printLoss(cmd.OutOrStdout(), fleetlog.CountLoss(logs, objective))
		}}
	c.Flags().DurationVar(&window, "window", 2*time.Second, "length of a time window")
	c.Flags().DurationVar(&warm, "warm", 23*time.Second, "how long a host is warming up after its start")
	c.Flags().DurationVar(&fall, "fall", 2*time.Second, "window for the peak of attempts at a warming host")
	c.Flags().DurationVar(&objective, "aim", 250*time.Millisecond, "how long messages may take")
	return c
}

// printLoss prints the causes for which clients were not connected, or to slow hosts.
func printLoss(to io.Writer, l *fleetlog.Loss) error {
	all := max(l.All(), 1e-9)
	fmt.Fprintf(to, "\nclient seconds %.0f: good %.1f%%, on overloaded hosts %.1f%%, on slow hosts %.1f%%, "+
		"waiting %.1f%%, after a broken connection %.1f%%, after a rejection %.1f%%, after a migration %.1f%%\n",
		l.All(), 100*l.Good/all, 100*l.Crowded/all, 100*l.Slow/all, 100*l.Waiting/all, 100*l.Broken/all, 100*l.Rejected/all, 100*l.Migrated/all)
	fmt.Fprintf(to, "largest share of a host over the mean, by weight: median %.2f, max %.2f\n", l.Spread, l.SpreadWorst)
	t := tabwriter.NewWriter(to, 0, 8, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "\nhost\testablished s\toverloaded s\tslow s\tbroken\tshare, mean\tmax\t")
	for _, h := range l.Hosts[:min(10, len(l.Hosts))] {
		fmt.Fprintf(t, "%s\t%.0f\t%.0f\t%.0f\t%.0f\t%.2f\t%.2f\t\n", h.Name, h.Connected, h.Crowded, h.Slow, h.Broken, h.Share, h.ShareOf)
	}
	return t.Flush()
}

// printFleet prints what all proxies did, by time window and by host.
func printFleet(to io.Writer, l *fleetlog.Log, f *fleetlog.Fleet) error {
	fmt.Fprintf(to, "%d proxies, %d events, %d lines skipped, from %s\n\n", l.Proxies, len(l.Events), l.Skipped,
		f.Began.Format(time.RFC3339))
	t := tabwriter.NewWriter(to, 0, 8, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "s\trequests\treturned\tattempts\testablished\trejected\tfailed\tbroken\topen\tgroup placements\tstarted\tdiscovery failed\t")
	for _, w := range f.Windows {
		var bad []string
		for status, n := range w.Failed {
			bad = append(bad, fmt.Sprintf("%s %d", status, n))
		}
		sort.Strings(bad)
		fmt.Fprintf(t, "%.0f\t%d\t%d\t%d\t%d\t%d\t%s\t%d\t%d\t%d\t%d\t%d\t\n", w.From.Seconds(), w.Requests, w.Returned, w.Sent,
			w.Established, w.Rejected, strings.Join(bad, ", "), w.Broken, w.Open, w.Places, w.Started, w.DiscoveryFailed)
	}
	fmt.Fprintln(t, "\nhost\tzone\tweight\tattempts\twhile warming up\tpeak of these\topen\tslowest ms\t\t\t\t\t")
	for _, h := range f.Hosts {
		fmt.Fprintf(t, "%s\t%s\t%g\t%d\t%d\t%d\t%d\t%.0f\t\t\t\t\t\n", h.Name, h.Zone, h.Weight, h.Sent, h.ColdSent, h.ColdPeak, h.Open,
			h.SlowestMS)
	}
	if err := t.Flush(); err != nil {
		return err
	}
	_, err := fmt.Fprintf(to, "\nattempts a request %.2f\n", float64(f.Sent)/float64(max(1, f.Requests)))
	return err
}
