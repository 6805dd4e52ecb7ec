// Package command implements croftlock's command line. Golden files in testdata record the names,
// flags, texts and exit statuses of the commands.
package command

import (
	"bytes"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"

	"github.com/spf13/cobra"

	"croftlock/internal/app/node"
	"croftlock/internal/operations/certs"
	"croftlock/internal/operations/logging"
	"croftlock/internal/operations/platform"
	"croftlock/internal/operations/settings"
)

// New returns the root command, which serves if no sub-command is given. env returns the value of
// an environment variable, as os.Getenv does.
func New(env func(string) string) *cobra.Command {
	c := &commands{env: env}
	root := &cobra.Command{
		Use:   "croftlock",
		Short: "A proxy for long-lived connections",
		Long: "croftlock places each client's connection at an upstream host, as its decision module says, and carries its\n" +
			"lines until it ends. Without a sub-command it serves. NODE_CONFIG names the platform's configuration.",
		Example:       "  NODE_CONFIG=/run/balancer/config.json croftlock\n  croftlock check --settings deploy/croftlock.sexp",
		Args:          cobra.NoArgs,
		SilenceUsage:  true,
		SilenceErrors: true,
		RunE:          c.serve,
	}
	root.PersistentFlags().StringVar(&c.settingsPath, "settings", env("CROFTLOCK_SETTINGS"),
		"the operators' file; CROFTLOCK_SETTINGS names it too")
	root.PersistentFlags().Lookup("settings").DefValue = ""
	root.PersistentFlags().StringVar(&c.logFormat, "log-format", "", "form of the log, text or json; wins over the operators' file")
	root.AddCommand(&cobra.Command{Use: "serve", Short: "Run one proxy", Args: cobra.NoArgs, RunE: c.serve,
		Example: "  NODE_CONFIG=/run/balancer/config.json croftlock serve --settings deploy/croftlock.sexp"})
	root.AddCommand(&cobra.Command{Use: "check", Args: cobra.NoArgs, RunE: c.check,
		Short: "Read the configuration and the operators' file and say what is wrong",
		Long: "check reads the file that NODE_CONFIG names, if it is set, and the operators' file, and what that refers to.\n" +
			"It tells every fault as file:line:col: what, expected, and exits with 1 where there is any.",
		Example: "  croftlock check --settings deploy/croftlock.sexp"})
	root.AddCommand(c.settingsCommand(), certCommands())
	root.AddCommand(c.fleetCommands()...)
	return root
}

// Run runs the command line args and returns the exit status. It prints an error to standard error.
func Run(args []string, env func(string) string) int {
	root := New(env)
	root.SetArgs(args)
	if err := root.Execute(); err != nil {
		fmt.Fprintln(root.ErrOrStderr(), "croftlock:", err)
		return 1
	}
	return 0
}

// commands holds the environment and the values of the flags that all commands share.
type commands struct {
	env          func(string) string // returns an environment variable, or "" if it is not set
	settingsPath string              // if empty, all settings have their defaults
	logFormat    string              // if empty, the settings file specifies the format
}

// serve runs the proxy until it has shut down after a signal.
func (c *commands) serve(*cobra.Command, []string) error {
	if c.logFormat != "" && !slices.Contains(logging.Formats, c.logFormat) {
		return fmt.Errorf("--log-format %q: %s expected", c.logFormat, strings.Join(logging.Formats, " or "))
	}
	signals := node.Signals() // before the files are read: until this call a SIGHUP ends the process
	cfg, err := platform.Load(c.env)
	if err != nil {
		return err
	}
	file, err := node.Schema().Load(c.settingsPath)
	if err != nil {
		return err
	}
	return node.Run(cfg, file, c.logFormat, signals)
}

// check prints every fault of the platform's configuration, which NODE_CONFIG names, and of the
// operators' settings file. It omits a file that is not named. It returns an error if there is any
// fault, or if neither file is named.
func (c *commands) check(cmd *cobra.Command, _ []string) error {
	faults := 0
	report := func(err error) {
		if err != nil {
			fmt.Fprintln(cmd.OutOrStdout(), err)
			faults++
		}
	}
	if c.env("NODE_CONFIG") == "" && c.settingsPath == "" {
		return fmt.Errorf("nothing to check: name the operators' file by --settings, or set NODE_CONFIG")
	}
	if c.env("NODE_CONFIG") != "" {
		_, err := platform.Load(c.env)
		report(err)
	}
	if c.settingsPath != "" {
		file, err := node.Schema().Load(c.settingsPath)
		report(err)
		if err == nil {
			for _, err := range node.Check(file) {
				report(err)
			}
		}
	}
	if faults > 0 {
		return fmt.Errorf("it can't be used as it is")
	}
	fmt.Fprintln(cmd.OutOrStdout(), "ok")
	return nil
}

// settingsCommand returns the group of commands that print or format the settings file.
func (c *commands) settingsCommand() *cobra.Command {
	group := &cobra.Command{Use: "settings", Short: "Look at the operators' file"}
	group.AddCommand(&cobra.Command{Use: "show", Args: cobra.NoArgs,
		Short:   "Print every setting with its value, defaults included",
		Example: "  croftlock settings show --settings deploy/croftlock.sexp",
		RunE: func(cmd *cobra.Command, _ []string) error {
			file, err := node.Schema().Load(c.settingsPath)
			if err != nil {
				return err
			}
			node.Schema().Show(cmd.OutOrStdout(), file)
			return nil
		}})
	var write bool
	format := &cobra.Command{Use: "fmt [FILE]", Args: cobra.MaximumNArgs(1),
		Short:   "Print the file in its one form, comments kept; - or nothing reads standard input",
		Example: "  croftlock settings fmt -w deploy/croftlock.sexp",
		RunE: func(cmd *cobra.Command, args []string) error {
			path := "-"
			if len(args) == 1 {
				path = args[0]
			}
			return formatFile(cmd, path, write)
		}}
	format.Flags().BoolVarP(&write, "write", "w", false, "replace the file instead")
	group.AddCommand(format)
	return group
}

// formatFile prints a settings file in its canonical form, or replaces the file if write is true. If
// path is "-", it reads standard input and prints, whatever write is. A file with a syntax error is
// not changed.
func formatFile(cmd *cobra.Command, path string, write bool) error {
	var data []byte
	var err error
	if path == "-" {
		data, err = io.ReadAll(io.LimitReader(cmd.InOrStdin(), settings.MaxBytes+1))
	} else {
		data, err = certs.ReadFile(path)
	}
	if err != nil {
		return err
	}
	root, faults := settings.Parse(path, data)
	if err := faults.Err(); err != nil {
		return err // a file that cannot be parsed is not changed
	}
	out := settings.Print(root)
	if !write || path == "-" {
		_, err = cmd.OutOrStdout().Write(out)
		return err
	}
	if bytes.Equal(out, data) {
		return nil
	}
	info, err := os.Stat(path)
	if err != nil {
		return err
	}
	return certs.ReplaceFile(path, out, info.Mode().Perm())
}
