package command

import (
	"crypto/ed25519"
	"encoding/base64"
	"fmt"
	"io"
	"strconv"
	"strings"

	"github.com/spf13/cobra"

	"croftlock/internal/dataplane/lineproto"
	"croftlock/internal/fleet/namespace"
	"croftlock/internal/fleet/owneragent"
	"croftlock/internal/fleet/rules"
	"croftlock/internal/operations/certs"
	"croftlock/internal/operations/settings"
)

type asking = func(cmd *cobra.Command, q owneragent.Request, show func(w io.Writer, r owneragent.Reply) error) error

// ruling are the commands about the rules that all proxies agree on.
func ruling(ask asking) *cobra.Command {
	all := &cobra.Command{Use: "rules", Short: "Rules on which all proxies agree"}
	question := func(use, short, example string, args cobra.PositionalArgs, q func(args []string) ([]byte, error)) *cobra.Command {
		return &cobra.Command{Use: use, Short: short, Example: "  croftlock rules " + example, Args: args, RunE: func(cmd *cobra.Command, args []string) error {
			body, err := q(args)
			if err != nil {
				return err
			}
			return ask(cmd, owneragent.Request{Do: "rules", Rules: body}, nil)
		}}
	}
	history := question("history", "Tell which changes were made, by whom and by which grant, and which were refused since this keeper began", "history --account acme", cobra.NoArgs, nil)
	about := history.Flags().String("account", "", "only what is about this account and those below it")
	history.RunE = func(cmd *cobra.Command, _ []string) error {
		return ask(cmd, owneragent.Request{Do: "rules", Rules: rules.QueryHistory(*about)}, nil)
	}
	all.AddCommand(putting(ask), dropping(ask), rolling(ask), diffing(ask), explaining(ask), checking(), keying(), history,
		question("status", "Tell who may act by which version and for how long, who has the next one ready or why not, and what is waited for", "status", cobra.NoArgs,
			func([]string) ([]byte, error) { return rules.QueryStatus(), nil }),
		question("show [VERSION]", "Tell which version is active, at how many, and who has no right; with a number, what that version says (0: the active one)", "show 0",
			cobra.MaximumNArgs(1), func(args []string) ([]byte, error) {
				if len(args) == 0 {
					return rules.QueryActive(), nil
				}
				n, err := strconv.ParseUint(args[0], 10, 64)
				return rules.QueryVersion(n), err
			}))
	return all
}

// changing is a command that asks for a change; change gives it.
func changing(ask asking, use, short, long, example string, change func(args []string, against uint64) (*rules.Change, error)) *cobra.Command {
	var against uint64
	var key string
	c := &cobra.Command{Use: use, Args: cobra.ExactArgs(1), Short: short, Long: long, Example: example, RunE: func(cmd *cobra.Command, args []string) error {
		ch, err := change(args, against)
		if err != nil {
			return err
		}
		if err := sign(ch, key); err != nil {
			return err
		}
		return ask(cmd, owneragent.Request{Do: "rules", Rules: rules.EncodeProposal(ch)}, nil)
	}}
	c.Flags().Uint64Var(&against, "against", 0, "number of the version that is active as the change is made: rules show")
	c.Flags().StringVar(&key, "key", "", "file of the Ed25519 key that a grant names (PEM, PKCS #8); without one the change is the operators'")
	return c
}

func putting(ask asking) *cobra.Command {
	return changing(ask, "put FILE", "Propose the operators' rules, whole, or an account's namespace, or an account below another",
		"FILE holds one section: (rules …), (namespace …) or (account …). The answer says at how many proxies it is active and whose right has lapsed; refused,\n"+
			"with the reason; or unknown, where nobody can say: the same once more is as once.",
		"  croftlock rules put rules.sexp --against 4\n  croftlock rules put routes.sexp --against 7 --key acme.key",
		func(args []string, against uint64) (*rules.Change, error) {
			what, err := readChange(args[0])
			if err != nil {
				return nil, err
			}
			switch v := what.(type) {
			case *namespace.Namespace:
				return rules.ChangeNamespace(v, against, nil), nil
			case *namespace.Account:
				return rules.ChangeAccountTo(v, against, nil), nil
			default:
				return rules.ChangeOperators(v.(*rules.Version), against, nil), nil
			}
		})
}

// readChange reads the one section of a file that a change is written in.
func readChange(path string) (any, error) {
	file, err := settings.Schema{rules.Section(), namespace.Section(), namespace.AccountSection()}.Load(path)
	if err != nil {
		return nil, err
	}
	var found []string
	for _, n := range file.Root.Values() {
		found = append(found, n.Name())
	}
	if len(found) != 1 {
		return nil, fmt.Errorf("%s has %d sections, expected one: (rules …), (namespace …) or (account …)", path, len(found))
	}
	return file.Value(found[0]), nil
}

func checking() *cobra.Command {
	return &cobra.Command{Use: "check FILE", Args: cobra.ExactArgs(1), Short: "Say what is wrong with a file of rules, a namespace or an account, without asking anybody", Example: "  croftlock rules check rules.sexp",
		RunE: func(cmd *cobra.Command, args []string) error {
			if _, err := readChange(args[0]); err != nil {
				return err
			}
			fmt.Fprintln(cmd.OutOrStdout(), "nothing is wrong with it by itself")
			return nil
		}}
}

func dropping(ask asking) *cobra.Command {
	return changing(ask, "drop ACCOUNT", "Propose the end of an account below another, with all below it and their namespaces", "", "  croftlock rules drop acme/web --against 9",
		func(args []string, against uint64) (*rules.Change, error) {
			return rules.RemoveAccount(args[0], against, nil), nil
		})
}

func rolling(ask asking) *cobra.Command {
	return changing(ask, "rollback VERSION", "Propose everything as an earlier version had it, as a new version", "", "  croftlock rules rollback 6 --against 9",
		func(args []string, against uint64) (*rules.Change, error) {
			to, err := strconv.ParseUint(args[0], 10, 64)
			return rules.RollBackTo(to, against, nil), err
		})
}

// diffing compares what two versions say, line by line.
func diffing(ask asking) *cobra.Command {
	return &cobra.Command{Use: "diff VERSION VERSION", Args: cobra.ExactArgs(2), Short: "Tell what one version says and another does not (0: the active one)", Example: "  croftlock rules diff 6 0",
		RunE: func(cmd *cobra.Command, args []string) error {
			var text [2]string
			for i, a := range args {
				n, err := strconv.ParseUint(a, 10, 64)
				if err != nil {
					return err
				}
				if err := ask(cmd, owneragent.Request{Do: "rules", Rules: rules.QueryVersion(n)}, func(_ io.Writer, r owneragent.Reply) error {
					text[i] = r.Answer
					return nil
				}); err != nil {
					return err
				}
				if strings.HasPrefix(text[i], "refused: ") {
					return fmt.Errorf("%s", text[i])
				}
			}
			return difference(cmd.OutOrStdout(), text[0], text[1])
		}}
}

// difference writes the lines of either text that the other has not; comments are numbers, which differ in any case.
func difference(w io.Writer, a, b string) error {
	only := func(mark, x, y string) {
		has := map[string]int{}
		for _, l := range strings.Split(y, "\n") {
			has[l]++
		}
		in := ""
		for _, l := range strings.Split(x, "\n") {
			if strings.HasPrefix(l, "(") {
				in = strings.TrimSuffix(l, ")")
			}
			if has[l]--; has[l] < 0 && !strings.HasPrefix(l, ";") {
				fmt.Fprintf(w, "%s %s  ; in %s\n", mark, strings.TrimSpace(l), in)
			}
		}
	}
	only("-", a, b)
	only("+", b, a)
	return nil
}

func explaining(ask asking) *cobra.Command {
	var zone string
	c := &cobra.Command{Use: "explain 'OPEN …'", Args: cobra.ExactArgs(1), Short: "Say what becomes of a request by the version that this proxy acts by, and why",
		Example: "  croftlock rules explain 'OPEN 9b1f03aa5c7e2d41 7f3a9c21e0b4d655 c=chat,t=acme,d=2000'",
		RunE: func(cmd *cobra.Command, args []string) error {
			o, err := lineproto.ParseOpen([]byte(args[0] + "\r\n"))
			if err != nil {
				return err
			}
			return ask(cmd, owneragent.Request{Do: "explain", Explain: &namespace.Request{Tenant: o.Tenant, Class: o.Class, Key: o.Key, Group: o.Group, Zone: zone}}, nil)
		}}
	c.Flags().StringVar(&zone, "zone", "", "zone of the proxy that it comes to")
	return c
}

// signing reads the key of a grant.
func signing(path string) (ed25519.PrivateKey, error) {
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

// sign signs a change where a key is named. Each such change has an id of its own.
func sign(c *rules.Change, path string) error {
	if path == "" {
		return nil
	}
	key, err := signing(path)
	if err != nil {
		return err
	}
	c.SetID()
	c.Sign(key)
	return nil
}

func keying() *cobra.Command {
	return &cobra.Command{Use: "key FILE", Args: cobra.ExactArgs(1), Short: "Print the public half of an Ed25519 key as a grant names it", Example: "  croftlock rules key acme.key",
		RunE: func(cmd *cobra.Command, args []string) error {
			key, err := signing(args[0])
			if err == nil {
				fmt.Fprintln(cmd.OutOrStdout(), base64.StdEncoding.EncodeToString(key.Public().(ed25519.PublicKey)))
			}
			return err
		}}
}
