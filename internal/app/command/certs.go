package command

import (
	"crypto/x509"
	"errors"
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"croftlock/internal/dataplane/upstreamtls"
	"croftlock/internal/operations/certs"
	"croftlock/internal/operations/settings"
)

// certCommands make and look into certificates, for installations without a certificate service of their own.
func certCommands() *cobra.Command {
	group := &cobra.Command{Use: "certs", Short: "Make and look into certificates"}
	group.AddCommand(makeCA(), makeIssue(), makeInspect(), makeVerify())
	return group
}

// output is where a new certificate and its key go.
type output struct {
	cert, key, password, kind, lifetime string
	force                               bool
}

func (o *output) flags(cmd *cobra.Command, name, life string) {
	f := cmd.Flags()
	f.StringVar(&o.cert, "out", name+".pem", "file of the certificate")
	f.StringVar(&o.key, "key", name+".key", "file of the key, written with mode 0600")
	f.StringVar(&o.password, "password-file", "", "encrypt the key with the first line of this file")
	f.StringVar(&o.kind, "kind", "ec", "kind of key: "+strings.Join(certs.KeyKinds[:len(certs.KeyKinds)-1], ", "))
	f.StringVar(&o.lifetime, "life", life, "how long it is valid, such as 90d")
	f.BoolVar(&o.force, "force", false, "replace files that exist")
}

func (o *output) issue(issuer *certs.Pair, spec certs.Spec) (*certs.Pair, error) {
	life, ok := settings.ParseDuration(o.lifetime)
	if !ok || life <= 0 {
		return nil, fmt.Errorf("--life %q, expected a time with its unit, such as 90d", o.lifetime)
	}
	if o.kind == "rsa1024" {
		return nil, errors.New("a key of kind rsa1024 is too weak")
	}
	now := time.Now()
	spec.Key, spec.NotBefore, spec.NotAfter = o.kind, now.Add(-time.Minute), now.Add(life)
	if issuer != nil && spec.NotAfter.After(issuer.Cert.NotAfter) {
		return nil, fmt.Errorf("it would outlive its issuer, which ends %s", issuer.Cert.NotAfter.UTC().Format(time.RFC3339))
	}
	for _, path := range []string{o.cert, o.key} {
		if _, err := os.Stat(path); err == nil && !o.force {
			return nil, fmt.Errorf("%s exists; --force replaces it", path)
		}
	}
	var password []byte
	if o.password != "" {
		data, err := certs.ReadFile(o.password)
		if err != nil {
			return nil, err
		}
		if password = []byte(strings.TrimRight(string(data), "\r\n")); len(password) == 0 {
			return nil, fmt.Errorf("%s: no password in it", o.password)
		}
	}
	p, err := certs.Issue(issuer, spec)
	if err != nil {
		return nil, err
	}
	return p, p.Save(o.cert, o.key, password)
}

func makeCA() *cobra.Command {
	var o output
	cmd := &cobra.Command{Use: "ca NAME", Short: "Make a certificate authority", Args: cobra.ExactArgs(1),
		Example: "  croftlock certs ca 'Valley catalogue CA' --life 1000d --out ca.pem --key ca.key",
		RunE: func(cmd *cobra.Command, args []string) error {
			p, err := o.issue(nil, certs.Spec{Name: args[0], Authority: true})
			if err == nil {
				fmt.Fprint(cmd.OutOrStdout(), certs.Describe(p.Cert, time.Now()))
			}
			return err
		}}
	o.flags(cmd, "ca", "3650d")
	return cmd
}

func makeIssue() *cobra.Command {
	var o output
	var caCert, caKey, caPassword string
	var spec certs.Spec
	cmd := &cobra.Command{Use: "issue NAME", Short: "Make a certificate signed by an authority", Args: cobra.ExactArgs(1),
		Example: "  croftlock certs issue cat3 --server --host cat3.valley.example --out cat3.pem --key cat3.key\n" +
			"  croftlock certs issue proxies --client --life 30d",
		RunE: func(cmd *cobra.Command, args []string) error {
			if !spec.Server && !spec.Client {
				return errors.New("what is it for? expected --server, --client or both")
			}
			if spec.Server && len(spec.Hosts) == 0 {
				return errors.New("a server's certificate needs a name: --host")
			}
			ca, err := certs.LoadPair(caCert, caKey, caPassword)
			if err != nil {
				return err
			}
			if !ca.Cert.IsCA {
				return fmt.Errorf("%s is no authority's certificate", caCert)
			}
			spec.Name = args[0]
			p, err := o.issue(ca, spec)
			if err == nil {
				fmt.Fprint(cmd.OutOrStdout(), certs.Describe(p.Cert, time.Now()))
			}
			return err
		}}
	f := cmd.Flags()
	f.StringVar(&caCert, "ca", "ca.pem", "the authority's certificate")
	f.StringVar(&caKey, "ca-key", "ca.key", "the authority's key")
	f.StringVar(&caPassword, "ca-password-file", "", "file with the password of that key")
	f.StringSliceVar(&spec.Hosts, "host", nil, "name, address or URI it is for; may be repeated")
	f.BoolVar(&spec.Server, "server", false, "for servers")
	f.BoolVar(&spec.Client, "client", false, "for clients")
	o.flags(cmd, "cert", "90d")
	return cmd
}

func makeInspect() *cobra.Command {
	return &cobra.Command{Use: "inspect FILE...", Short: "Say what certificates hold", Args: cobra.MinimumNArgs(1),
		Example: "  croftlock certs inspect ca.pem cat3.pem",
		RunE: func(cmd *cobra.Command, args []string) error {
			for _, path := range args {
				chain, err := loadBundle(path)
				if err != nil {
					return err
				}
				for i, c := range chain {
					fmt.Fprintf(cmd.OutOrStdout(), "; %s, %d of %d\n%s", path, i+1, len(chain), certs.Describe(c, time.Now()))
				}
			}
			return nil
		}}
}

func loadBundle(path string) ([]*x509.Certificate, error) {
	data, err := certs.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return certs.ParseBundle(path, data)
}

func makeVerify() *cobra.Command {
	var trust, key, password, name string
	var lists []string
	cmd := &cobra.Command{Use: "verify FILE", Short: "Verify a server's certificate as the proxy would",
		Args:    cobra.ExactArgs(1),
		Example: "  croftlock certs verify cat3.pem --trust ca.pem --name cat3.valley.example --key cat3.key",
		RunE: func(cmd *cobra.Command, args []string) error {
			chain, err := loadBundle(args[0])
			if err != nil {
				return err
			}
			m, err := upstreamtls.Load(upstreamtls.Options{Trust: []string{trust}, CRLs: lists}, 1)
			if err != nil {
				return err
			}
			if fault := m.OwnFault(time.Now()); fault != nil {
				return fault
			}
			if _, err := m.Verify(chain, upstreamtls.Name{Text: name, URI: strings.Contains(name, "://")}, time.Now()); err != nil {
				return fmt.Errorf("%s: %v", args[0], err)
			}
			if key != "" {
				if _, err := certs.LoadPair(args[0], key, password); err != nil {
					return err
				}
			}
			fmt.Fprintf(cmd.OutOrStdout(), "ok, %s left\n", time.Until(chain[0].NotAfter).Round(time.Second))
			return nil
		}}
	f := cmd.Flags()
	f.StringVar(&trust, "trust", "ca.pem", "bundle of authorities")
	f.StringVar(&key, "key", "", "file of its key, to see that they belong together")
	f.StringVar(&password, "password-file", "", "file with the password of that key")
	f.StringVar(&name, "name", "", "name it must be for: a DNS name, an address or a URI")
	f.StringSliceVar(&lists, "crl", nil, "lists of certificates taken back")
	cmd.MarkFlagRequired("name")
	return cmd
}
