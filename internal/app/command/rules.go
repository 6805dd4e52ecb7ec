package command

import (
	"errors"
	"fmt"
	"io"
	"strconv"
	"strings"

	"github.com/spf13/cobra"

	"croftlock/internal/dataplane/lineproto"
	"croftlock/internal/fleet/namespace"
	"croftlock/internal/fleet/owneragent"
	"croftlock/internal/fleet/rules"
)

// rulesCommand returns the group of commands for the rules on which all proxies agree. The rules are
// published in numbered versions.
func (f *fleetClient) rulesCommand() *cobra.Command {
	group := &cobra.Command{Use: "rules", Short: "Rules on which all proxies agree"}
	group.AddCommand(f.putCommand(), f.dropCommand(), f.rollbackCommand(), f.diffCommand(), f.explainCommand(), checkRulesCommand(), keyCommand(),
		f.historyCommand(), f.rulesStatusCommand(), f.showCommand())
	return group
}

// query sends an encoded query or proposal to the running proxy, which passes it to the publisher of
// the rules, and prints the answer.
func (f *fleetClient) query(cmd *cobra.Command, message []byte) error {
	return f.send(cmd, owneragent.Request{Command: "rules", Rules: message}, nil)
}

// historyCommand returns the command that prints the audit log.
func (f *fleetClient) historyCommand() *cobra.Command {
	c := &cobra.Command{Use: "history", Args: cobra.NoArgs, Example: "  croftlock rules history --account acme",
		Short: "Tell which changes were made, by whom and by which grant, and which were refused since this keeper began"}
	account := c.Flags().String("account", "", "only what is about this account and those below it")
	c.RunE = func(cmd *cobra.Command, _ []string) error { return f.query(cmd, rules.QueryHistory(*account)) }
	return c
}

// rulesStatusCommand returns the command that prints which proxy holds a lease, the right to apply a
// version for a limited time, for which version.
func (f *fleetClient) rulesStatusCommand() *cobra.Command {
	return &cobra.Command{Use: "status", Args: cobra.NoArgs, Example: "  croftlock rules status",
		Short: "Tell who may act by which version and for how long, who has the next one ready or why not, and what is waited for",
		RunE:  func(cmd *cobra.Command, _ []string) error { return f.query(cmd, rules.QueryStatus()) }}
}

// showCommand returns the command that prints the number of the active version, or the text of the
// version that the argument names.
func (f *fleetClient) showCommand() *cobra.Command {
	return &cobra.Command{Use: "show [VERSION]", Args: cobra.MaximumNArgs(1), Example: "  croftlock rules show 0",
		Short: "Tell which version is active, at how many, and who has no right; with a number, what that version says (0: the active one)",
		RunE: func(cmd *cobra.Command, args []string) error {
			if len(args) == 0 {
				return f.query(cmd, rules.QueryActive())
			}
			version, err := strconv.ParseUint(args[0], 10, 64)
			if err != nil {
				return err
			}
			return f.query(cmd, rules.QueryVersion(version))
		}}
}

// checkRulesCommand returns the command that validates a file with a change without a proxy.
func checkRulesCommand() *cobra.Command {
	return &cobra.Command{Use: "check FILE", Args: cobra.ExactArgs(1), Short: "Say what is wrong with a file of rules, a namespace or an account, without asking anybody", Example: "  croftlock rules check rules.sexp",
		RunE: func(cmd *cobra.Command, args []string) error {
			if _, err := readChange(args[0]); err != nil {
				return err
			}
			fmt.Fprintln(cmd.OutOrStdout(), "nothing is wrong with it by itself")
			return nil
		}}
}

// diffCommand returns the command that compares the texts of two versions line by line.
func (f *fleetClient) diffCommand() *cobra.Command {
	return &cobra.Command{Use: "diff VERSION VERSION", Args: cobra.ExactArgs(2), Short: "Tell what one version says and another does not (0: the active one)", Example: "  croftlock rules diff 6 0",
		RunE: func(cmd *cobra.Command, args []string) error {
			var texts [2]string
			for i, version := range args {
				var err error
				if texts[i], err = f.versionText(cmd, version); err != nil {
					return err
				}
			}
			printMissing(cmd.OutOrStdout(), "-", texts[0], texts[1])
			printMissing(cmd.OutOrStdout(), "+", texts[1], texts[0])
			return nil
		}}
}

// versionText queries the text of a rules version. version is a decimal number; 0 means the active
// version. It returns an error if the proxy refuses the query. With --json the reply is printed
// instead, and the returned text is empty.
func (f *fleetClient) versionText(cmd *cobra.Command, version string) (text string, err error) {
	n, err := strconv.ParseUint(version, 10, 64)
	if err != nil {
		return "", err
	}
	err = f.send(cmd, owneragent.Request{Command: "rules", Rules: rules.QueryVersion(n)}, func(_ io.Writer, r owneragent.Reply) error {
		text = r.Answer
		return nil
	})
	if err == nil && strings.HasPrefix(text, "refused: ") {
		err = errors.New(text)
	}
	return text, err
}

// printMissing prints the lines of text that other lacks, each after mark and with the section, a line
// starting with "(", that it is in. A line that text has more often than other is printed for each
// missing copy. Comments are omitted, because they contain numbers that differ between any two
// versions.
func printMissing(w io.Writer, mark, text, other string) {
	unmatched := map[string]int{} // copies in other that are not matched yet, by line
	for _, line := range strings.Split(other, "\n") {
		unmatched[line]++
	}
	section := ""
	for _, line := range strings.Split(text, "\n") {
		if strings.HasPrefix(line, "(") {
			section = strings.TrimSuffix(line, ")")
		}
		if unmatched[line]--; unmatched[line] < 0 && !strings.HasPrefix(line, ";") {
			fmt.Fprintf(w, "%s %s  ; in %s\n", mark, strings.TrimSpace(line), section)
		}
	}
}

// explainCommand returns the command that prints how the rules that the proxy applies now decide on a
// request, and why.
func (f *fleetClient) explainCommand() *cobra.Command {
	var zone string
	c := &cobra.Command{Use: "explain 'OPEN …'", Args: cobra.ExactArgs(1), Short: "Say what becomes of a request by the version that this proxy acts by, and why",
		Example: "  croftlock rules explain 'OPEN 9b1f03aa5c7e2d41 7f3a9c21e0b4d655 c=chat,t=acme,d=2000'",
		RunE: func(cmd *cobra.Command, args []string) error {
			request, err := lineproto.ParseOpenLine([]byte(args[0] + "\r\n"))
			if err != nil {
				return err
			}
			return f.send(cmd, owneragent.Request{Command: "explain", Explain: &namespace.Request{Tenant: request.Tenant, Class: request.Class, Key: request.Key, Group: request.Group, Zone: zone}}, nil)
		}}
	c.Flags().StringVar(&zone, "zone", "", "zone of the proxy that it comes to")
	return c
}
