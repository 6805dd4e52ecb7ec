package command

import (
	"io"

	"github.com/spf13/cobra"

	"croftlock/internal/owners"
	"croftlock/internal/rules"
	"croftlock/internal/settings"
)

// ruling are the commands about the rules that all proxies agree on.
func ruling(ask func(cmd *cobra.Command, q owners.Request, show func(w io.Writer, r owners.Reply) error) error) *cobra.Command {
	all := &cobra.Command{Use: "rules", Short: "Rules on which all proxies agree"}
	var against uint64
	put := &cobra.Command{Use: "put FILE", Args: cobra.ExactArgs(1), Short: "Propose a version, whole, in place of the active one",
		Long: "The answer says at how many proxies it is active and whose right has lapsed; refused, with the reason; or unknown, where nobody can\n" +
			"say: the same once more is as once.",
		Example: "  croftlock rules put rules.sexp --against 4",
		RunE: func(cmd *cobra.Command, args []string) error {
			file, err := settings.Schema{rules.Section()}.Load(args[0])
			if err != nil {
				return err
			}
			v := *file.Value("rules").(*rules.Version)
			v.Number = against + 1
			return ask(cmd, owners.Request{Do: "rules put", Rules: v.Encode(), Against: against}, nil)
		}}
	put.Flags().Uint64Var(&against, "against", 0, "number of the version that is active as the change is made: rules show")
	all.AddCommand(put, &cobra.Command{Use: "show", Args: cobra.NoArgs, Short: "Tell which version is active, at how many, and who has no right",
		Example: "  croftlock rules show",
		RunE:    func(cmd *cobra.Command, _ []string) error { return ask(cmd, owners.Request{Do: "rules show"}, nil) }})
	return all
}
