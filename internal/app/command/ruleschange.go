package command

import (
	"crypto/ed25519"
	"encoding/base64"
	"fmt"
	"strconv"

	"github.com/spf13/cobra"

	"croftlock/internal/fleet/namespace"
	"croftlock/internal/fleet/rules"
	"croftlock/internal/operations/certs"
	"croftlock/internal/operations/settings"
)

// changeCommand makes the command c propose a change of the rules, and returns c. The function change
// builds the change from the command's only argument and from against, the number of the rules
// version that the change is based on.
func (f *fleetClient) changeCommand(c *cobra.Command, change func(arg string, against uint64) (*rules.Change, error)) *cobra.Command {
	var against uint64
	var keyPath string
	c.Args = cobra.ExactArgs(1)
	c.RunE = func(cmd *cobra.Command, args []string) error {
		proposal, err := change(args[0], against)
		if err != nil {
			return err
		}
		if err := sign(proposal, keyPath); err != nil {
			return err
		}
		return f.query(cmd, rules.EncodeProposal(proposal))
	}
	c.Flags().Uint64Var(&against, "against", 0, "number of the version that is active as the change is made: rules show")
	c.Flags().StringVar(&keyPath, "key", "", "file of the Ed25519 key that a grant names (PEM, PKCS #8); without one the change is the operators'")
	return c
}

// putCommand returns the command that proposes the operators' rules, an account's namespace (its own
// routes), or an account, as read from a file.
func (f *fleetClient) putCommand() *cobra.Command {
	return f.changeCommand(&cobra.Command{Use: "put FILE", Short: "Propose the operators' rules, whole, or an account's namespace, or an account below another",
		Long: "FILE holds one section: (rules …), (namespace …) or (account …). The answer says at how many proxies it is active and whose right has lapsed; refused,\n" +
			"with the reason; or unknown, where nobody can say: the same once more is as once.",
		Example: "  croftlock rules put rules.sexp --against 4\n  croftlock rules put routes.sexp --against 7 --key acme.key"},
		func(path string, against uint64) (*rules.Change, error) {
			section, err := readChange(path)
			if err != nil {
				return nil, err
			}
			switch v := section.(type) {
			case *namespace.Namespace:
				return rules.NewNamespaceChange(v, against, nil), nil
			case *namespace.Account:
				return rules.NewAccountChange(v, against, nil), nil
			default:
				return rules.NewOperatorsChange(v.(*rules.Version), against, nil), nil
			}
		})
}

// readChange reads the file of a change, which must have exactly one section. It returns that
// section's value: a *rules.Version, *namespace.Namespace or *namespace.Account.
func readChange(path string) (any, error) {
	file, err := settings.Schema{rules.Section(), namespace.Section(), namespace.AccountSection()}.Load(path)
	if err != nil {
		return nil, err
	}
	var sections []string
	for _, section := range file.Root.Values() {
		sections = append(sections, section.Name())
	}
	if len(sections) != 1 {
		return nil, fmt.Errorf("%s has %d sections, expected one: (rules …), (namespace …) or (account …)", path, len(sections))
	}
	return file.Value(sections[0]), nil
}

// dropCommand returns the command that proposes the removal of an account.
func (f *fleetClient) dropCommand() *cobra.Command {
	return f.changeCommand(&cobra.Command{Use: "drop ACCOUNT", Short: "Propose the end of an account below another, with all below it and their namespaces",
		Example: "  croftlock rules drop acme/web --against 9"},
		func(account string, against uint64) (*rules.Change, error) {
			return rules.NewAccountRemoval(account, against, nil), nil
		})
}

// rollbackCommand returns the command that proposes the content of an earlier version as a new
// version.
func (f *fleetClient) rollbackCommand() *cobra.Command {
	return f.changeCommand(&cobra.Command{Use: "rollback VERSION", Short: "Propose everything as an earlier version had it, as a new version",
		Example: "  croftlock rules rollback 6 --against 9"},
		func(version string, against uint64) (*rules.Change, error) {
			earlier, err := strconv.ParseUint(version, 10, 64)
			return rules.NewRollback(earlier, against, nil), err
		})
}

// grantKey reads a private key, which must be Ed25519, from a PEM file. A grant of the rules names the
// public key of someone who may change them.
func grantKey(path string) (ed25519.PrivateKey, error) {
	k, err := certs.LoadKey(path, "")
	if err != nil {
		return nil, err
	}
	key, ok := k.(ed25519.PrivateKey)
	if !ok {
		return nil, fmt.Errorf("%s: a key of type %T, expected Ed25519", path, k)
	}
	return key, nil
}

// sign assigns an ID to a change and signs it with the key in the file path. It does nothing if path
// is empty: the change is then the operators'.
func sign(c *rules.Change, path string) error {
	if path == "" {
		return nil
	}
	key, err := grantKey(path)
	if err != nil {
		return err
	}
	c.SetID()
	c.Sign(key)
	return nil
}

// keyCommand returns the command that prints a public key in the form that a grant contains.
func keyCommand() *cobra.Command {
	return &cobra.Command{Use: "key FILE", Args: cobra.ExactArgs(1), Short: "Print the public half of an Ed25519 key as a grant names it", Example: "  croftlock rules key acme.key",
		RunE: func(cmd *cobra.Command, args []string) error {
			key, err := grantKey(args[0])
			if err == nil {
				fmt.Fprintln(cmd.OutOrStdout(), base64.StdEncoding.EncodeToString(key.Public().(ed25519.PublicKey)))
			}
			return err
		}}
}
