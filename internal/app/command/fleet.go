package command

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"

	"github.com/spf13/cobra"

	"croftlock/internal/app/node"
	"croftlock/internal/fleet/memberagent"
	"croftlock/internal/fleet/owneragent"
)

// fleetClient sends requests about the fleet, which is all cooperating proxies, to one running proxy
// over the Unix sockets that the settings file names.
type fleetClient struct {
	commands *commands
	socket   string // overrides the settings file's socket unless empty
	asJSON   bool   // whether to print replies as JSON
}

// printReply prints a reply of the owner agent, the part of a proxy that divides the fleet's jobs
// among the proxies, to w. If a printReply is nil, the reply's Answer is printed as text.
type printReply func(w io.Writer, r owneragent.Reply) error

// fleetCommands returns the commands that query a running proxy about the fleet or change the
// fleet.
func (c *commands) fleetCommands() []*cobra.Command {
	f := &fleetClient{commands: c}
	all := []*cobra.Command{f.ownersCommand(), f.groupCommand(), f.fleetCommand(), f.membersCommand(), f.rulesCommand()}
	for _, command := range all {
		command.PersistentFlags().StringVar(&f.socket, "socket", "", "the running proxy's socket; else the one that the operators' file names")
		command.PersistentFlags().BoolVar(&f.asJSON, "json", false, "as JSON")
	}
	return all
}

// socketPath returns the path of the socket for a section of the settings file, "owners" or
// "membership". It returns an error if neither --socket nor the section names one.
func (f *fleetClient) socketPath(section string) (string, error) {
	if f.socket != "" {
		return f.socket, nil
	}
	file, err := node.Schema().Load(f.commands.settingsPath)
	if err != nil {
		return "", err
	}
	path := file.Value("owners").(owneragent.Options).Socket
	if section == "membership" {
		path = file.Value("membership").(memberagent.Options).Socket
	}
	if path == "" {
		return "", fmt.Errorf("no socket: name it by --socket, or the operators' file with (%s (socket ...)) by --settings", section)
	}
	return path, nil
}

// send sends a request to the proxy's owner agent and prints the reply with show, or its Answer as
// text if show is nil. It returns an error if the reply contains one. If show is nil, it also returns
// errNotDone if the Answer starts with "refused" or "unknown". With --json it prints any reply and
// returns no error for its content.
func (f *fleetClient) send(cmd *cobra.Command, request owneragent.Request, show printReply) error {
	socket, err := f.socketPath("owners")
	if err != nil {
		return err
	}
	reply, err := owneragent.SendRequest(socket, request)
	if err != nil {
		return fmt.Errorf("%s: %w", socket, err)
	}
	if f.asJSON {
		return json.NewEncoder(cmd.OutOrStdout()).Encode(reply)
	}
	if reply.Error != "" {
		return errors.New(reply.Error)
	}
	if show != nil {
		return show(cmd.OutOrStdout(), reply)
	}
	fmt.Fprintln(cmd.OutOrStdout(), reply.Answer)
	if strings.HasPrefix(reply.Answer, "refused") || strings.HasPrefix(reply.Answer, "unknown") {
		return errNotDone
	}
	return nil
}

// errNotDone is returned if a request was rejected or its outcome is unknown.
var errNotDone = errors.New("it was not done, or nobody knows")

// withArguments returns a function for cobra that sends the request name with the command line's
// one or two arguments.
func (f *fleetClient) withArguments(name string) func(cmd *cobra.Command, args []string) error {
	return func(cmd *cobra.Command, args []string) error {
		request := owneragent.Request{Command: name, Argument: args[0]}
		if len(args) > 1 {
			request.SecondArgument = args[1]
		}
		return f.send(cmd, request, nil)
	}
}

// withoutArguments returns a function for cobra that sends the request name without arguments. See
// send for show.
func (f *fleetClient) withoutArguments(name string, show printReply) func(cmd *cobra.Command, args []string) error {
	return func(cmd *cobra.Command, _ []string) error {
		return f.send(cmd, owneragent.Request{Command: name}, show)
	}
}

// ownersCommand returns the commands that print and move the owners of the fleet's jobs.
func (f *fleetClient) ownersCommand() *cobra.Command {
	owners := &cobra.Command{Use: "owners", Args: cobra.NoArgs, Short: "Tell who owns which of the fleet's jobs", RunE: f.withoutArguments("owners", printOwners),
		Example: "  croftlock owners --socket /run/croftlock/owners.sock\n  croftlock owners move hosts proxy-2"}
	owners.AddCommand(&cobra.Command{Use: "move JOB MEMBER", Args: cobra.ExactArgs(2), Short: "Have a job handed over", RunE: f.withArguments("move"),
		Example: "  croftlock owners move hosts proxy-2"})
	return owners
}

// groupCommand returns the commands that print and change the replicated group: the proxies that vote
// on the owners of jobs, and those that are being added to them.
func (f *fleetClient) groupCommand() *cobra.Command {
	group := &cobra.Command{Use: "group", Short: "The voters that the owners rest on"}
	group.AddCommand(&cobra.Command{Use: "status", Args: cobra.NoArgs, Short: "Tell how the group stands, as this proxy sees it", RunE: f.withoutArguments("status", printGroup)})
	for _, c := range []struct{ use, name, short string }{
		{"add NAME", "add", "Take a process in that asks for it, as one that listens"},
		{"promote NAME", "promote", "Let a member that listens vote, in the place of its earlier self"},
		{"remove NAME", "remove", "Take a member out"},
	} {
		group.AddCommand(&cobra.Command{Use: c.use, Args: cobra.ExactArgs(1), Short: c.short, RunE: f.withArguments(c.name)})
	}
	return group
}

// fleetCommand returns the commands that suspend and resume hosts fleet-wide.
func (f *fleetClient) fleetCommand() *cobra.Command {
	fleet := &cobra.Command{Use: "fleet", Short: "What holds at every proxy"}
	for _, name := range []string{"suspend", "resume"} {
		fleet.AddCommand(&cobra.Command{Use: name + " ID", Args: cobra.ExactArgs(1), Short: name + " a host at every proxy", RunE: f.withArguments(name),
			Long:    "The answer says at how many proxies it is done and which are still missing; refused; or unknown, where nobody can say.",
			Example: "  croftlock fleet " + name + " catalogue-07"})
	}
	fleet.AddCommand(&cobra.Command{Use: "list", Args: cobra.NoArgs, Short: "Tell which hosts are out for the whole fleet", RunE: f.withoutArguments("list", nil)})
	return fleet
}

// membersCommand returns the command that prints the fleet's members, which are its proxies, as the
// replying proxy sees them.
func (f *fleetClient) membersCommand() *cobra.Command {
	return &cobra.Command{Use: "members", Args: cobra.NoArgs, Short: "Tell which proxies are there, as this one sees them",
		RunE: func(cmd *cobra.Command, _ []string) error {
			socket, err := f.socketPath("membership")
			if err != nil {
				return err
			}
			report, err := memberagent.RequestReport(socket)
			if err != nil {
				return fmt.Errorf("%s: %w", socket, err)
			}
			if f.asJSON {
				return json.NewEncoder(cmd.OutOrStdout()).Encode(report)
			}
			return report.Print(cmd.OutOrStdout())
		}}
}

// printOwners prints the owners of all jobs if the replying proxy is a voter, which knows them.
// Otherwise it prints the jobs that the replying proxy itself owns.
func printOwners(w io.Writer, r owneragent.Reply) error {
	fmt.Fprintf(w, "%s  coordinator %s  lease left %d ms\n", r.Name, orDash(r.Leader), r.LeaseMS)
	if r.Store != "" {
		fmt.Fprintf(w, "its store can't be used: %s\n", r.Store)
	}
	t := tabwriter.NewWriter(w, 0, 8, 2, ' ', 0)
	if r.Jobs == nil {
		fmt.Fprintln(w, "this proxy is no voter, and knows its own jobs alone")
		fmt.Fprintln(t, "JOB\tTOKEN")
		for _, job := range slices.Sorted(maps.Keys(r.Owned)) {
			fmt.Fprintf(t, "%s\t%d\n", job, r.Owned[job])
		}
		return t.Flush()
	}
	fmt.Fprintln(t, "JOB\tOWNER\tTOKEN\tSINCE\tKEPT BYTES\tWHY")
	for _, j := range r.Jobs {
		fmt.Fprintf(t, "%s\t%s\t%d\t%s\t%d\t%s\n", j.Job, orDash(j.Owner), j.Token, j.ChangedAt, j.CheckpointBytes, j.Reason)
	}
	return t.Flush()
}

// printGroup prints the replicated group, which are the voters and learners, as the replying proxy
// sees it.
func printGroup(w io.Writer, r owneragent.Reply) error {
	if r.Store != "" {
		fmt.Fprintf(w, "%s: the store can't be used: %s\n", r.Name, r.Store)
	}
	if r.Group == nil {
		fmt.Fprintf(w, "%s: no voter with a disk (%s); coordinator %s\n", r.Name, r.Kind, orDash(r.Leader))
		return nil
	}
	g := r.Group
	fmt.Fprintf(w, "%s: %s %s  boots %d  term %d  leader %s  commit %d  applied %d\n", r.Name, g.Phase, g.Reason, g.Starts, g.Term, orDash(g.Leader), g.Commit, g.Applied)
	for _, name := range g.Applicants {
		fmt.Fprintf(w, "%s asks to be added\n", name)
	}
	t := tabwriter.NewWriter(w, 0, 8, 2, ' ', 0)
	fmt.Fprintln(t, "MEMBER\tID\tVOTES\tMATCH\tANSWERS")
	for _, m := range g.Members {
		fmt.Fprintf(t, "%s\t%s\t%t\t%d\t%t\n", m.Name, m.ID, m.Votes, m.Match, m.Active)
	}
	return t.Flush()
}

// orDash returns s, or a dash if s is empty.
func orDash(s string) string {
	if s == "" {
		return "-"
	}
	return s
}
