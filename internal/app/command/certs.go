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

// certCommands returns the group of commands that make, inspect and verify certificates, for
// installations without a certificate service of their own.
func certCommands() *cobra.Command {
	group := &cobra.Command{Use: "certs", Short: "Make and look into certificates"}
	group.AddCommand(caCommand(), issueCommand(), inspectCommand(), verifyCommand())
	return group
}

// newCertificate holds the values of the flags of a command that makes a certificate.
type newCertificate struct {
	certPath, keyPath string // output files
	passwordFile      string // path; if empty, the key is not encrypted
	kind, lifetime    string // the key's kind, one of certs.KeyKinds, and a time with its unit, such as 90d
	force             bool   // whether to replace existing files
}

// addFlags adds the flags to cmd. By default the files are name.pem and name.key, and the
// certificate is valid for lifetime, such as "90d".
func (n *newCertificate) addFlags(cmd *cobra.Command, name, lifetime string) {
	f := cmd.Flags()
	f.StringVar(&n.certPath, "out", name+".pem", "file of the certificate")
	f.StringVar(&n.keyPath, "key", name+".key", "file of the key, written with mode 0600")
	f.StringVar(&n.passwordFile, "password-file", "", "encrypt the key with the first line of this file")
	f.StringVar(&n.kind, "kind", "ec", "kind of key: "+strings.Join(certs.KeyKinds[:len(certs.KeyKinds)-1], ", "))
	f.StringVar(&n.lifetime, "life", lifetime, "how long it is valid, such as 90d")
	f.BoolVar(&n.force, "force", false, "replace files that exist")
}

// issue makes a certificate and its key, writes both to the files and returns them. If issuer is nil,
// the certificate is self-signed, as an authority's is. issue overwrites the key's kind and the
// times in spec by the flags. The certificate is valid from a minute ago, for verifiers whose clock
// is behind, and may not outlive its issuer.
func (n *newCertificate) issue(issuer *certs.Pair, spec certs.Spec) (*certs.Pair, error) {
	lifetime, ok := settings.ParseDuration(n.lifetime)
	if !ok || lifetime <= 0 {
		return nil, fmt.Errorf("--life %q, expected a time with its unit, such as 90d", n.lifetime)
	}
	if n.kind == "rsa1024" {
		return nil, errors.New("a key of kind rsa1024 is too weak")
	}
	now := time.Now()
	spec.Key, spec.NotBefore, spec.NotAfter = n.kind, now.Add(-time.Minute), now.Add(lifetime)
	if issuer != nil && spec.NotAfter.After(issuer.Cert.NotAfter) {
		return nil, fmt.Errorf("the certificate would end %s and outlive its issuer, which ends %s",
			spec.NotAfter.UTC().Format(time.RFC3339), issuer.Cert.NotAfter.UTC().Format(time.RFC3339))
	}
	for _, path := range []string{n.certPath, n.keyPath} {
		if _, err := os.Stat(path); err == nil && !n.force {
			return nil, fmt.Errorf("%s exists; --force replaces it", path)
		}
	}
	password, err := n.password()
	if err != nil {
		return nil, err
	}
	pair, err := certs.Issue(issuer, spec)
	if err != nil {
		return nil, err
	}
	return pair, pair.Save(n.certPath, n.keyPath, password)
}

// password returns the password for the new key, from passwordFile without its line breaks at the
// end. It returns nil if no file is named; the key is then not encrypted.
func (n *newCertificate) password() ([]byte, error) {
	if n.passwordFile == "" {
		return nil, nil
	}
	data, err := certs.ReadFile(n.passwordFile)
	if err != nil {
		return nil, err
	}
	password := []byte(strings.TrimRight(string(data), "\r\n"))
	if len(password) == 0 {
		return nil, fmt.Errorf("%s: no password in it", n.passwordFile)
	}
	return password, nil
}

// caCommand returns the command that makes a certificate authority.
func caCommand() *cobra.Command {
	var n newCertificate
	cmd := &cobra.Command{Use: "ca NAME", Short: "Make a certificate authority", Args: cobra.ExactArgs(1),
		Example: "  croftlock certs ca 'Valley catalogue CA' --life 1000d --out ca.pem --key ca.key",
		RunE: func(cmd *cobra.Command, args []string) error {
			p, err := n.issue(nil, certs.Spec{Name: args[0], Authority: true})
			if err == nil {
				fmt.Fprint(cmd.OutOrStdout(), certs.Describe(p.Cert, time.Now()))
			}
			return err
		}}
	n.addFlags(cmd, "ca", "3650d")
	return cmd
}

// issueCommand returns the command that makes a certificate signed by an authority.
func issueCommand() *cobra.Command {
	var n newCertificate
	var caCertPath, caKeyPath, caPasswordFile string
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
			ca, err := certs.LoadPair(caCertPath, caKeyPath, caPasswordFile)
			if err != nil {
				return err
			}
			if !ca.Cert.IsCA {
				return fmt.Errorf("%s is no authority's certificate", caCertPath)
			}
			spec.Name = args[0]
			p, err := n.issue(ca, spec)
			if err == nil {
				fmt.Fprint(cmd.OutOrStdout(), certs.Describe(p.Cert, time.Now()))
			}
			return err
		}}
	f := cmd.Flags()
	f.StringVar(&caCertPath, "ca", "ca.pem", "the authority's certificate")
	f.StringVar(&caKeyPath, "ca-key", "ca.key", "the authority's key")
	f.StringVar(&caPasswordFile, "ca-password-file", "", "file with the password of that key")
	f.StringSliceVar(&spec.Hosts, "host", nil, "name, address or URI it is for; may be repeated")
	f.BoolVar(&spec.Server, "server", false, "for servers")
	f.BoolVar(&spec.Client, "client", false, "for clients")
	n.addFlags(cmd, "cert", "90d")
	return cmd
}

// inspectCommand returns the command that prints the properties of certificates.
func inspectCommand() *cobra.Command {
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

// loadBundle reads the certificates in a PEM file, in their order. It returns at least one.
func loadBundle(path string) ([]*x509.Certificate, error) {
	data, err := certs.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return certs.ParseBundle(path, data)
}

// verifyCommand returns the command that verifies a server's certificate as the proxy does.
func verifyCommand() *cobra.Command {
	var trustPath, keyPath, passwordFile, name string
	var crlPaths []string
	cmd := &cobra.Command{Use: "verify FILE", Short: "Verify a server's certificate as the proxy would",
		Args:    cobra.ExactArgs(1),
		Example: "  croftlock certs verify cat3.pem --trust ca.pem --name cat3.valley.example --key cat3.key",
		RunE: func(cmd *cobra.Command, args []string) error {
			chain, err := loadBundle(args[0])
			if err != nil {
				return err
			}
			material, err := upstreamtls.Load(upstreamtls.Options{Trust: []string{trustPath}, CRLs: crlPaths}, 1)
			if err != nil {
				return err
			}
			if fault := material.OwnFault(time.Now()); fault != nil {
				return fault
			}
			if _, err := material.Verify(chain, upstreamtls.Name{Text: name, IsURI: strings.Contains(name, "://")}, time.Now()); err != nil {
				return fmt.Errorf("%s: %v", args[0], err)
			}
			if keyPath != "" {
				if _, err := certs.LoadPair(args[0], keyPath, passwordFile); err != nil {
					return err
				}
			}
			fmt.Fprintf(cmd.OutOrStdout(), "ok, %s left\n", time.Until(chain[0].NotAfter).Round(time.Second))
			return nil
		}}
	f := cmd.Flags()
	f.StringVar(&trustPath, "trust", "ca.pem", "bundle of authorities")
	f.StringVar(&keyPath, "key", "", "file of its key, to see that they belong together")
	f.StringVar(&passwordFile, "password-file", "", "file with the password of that key")
	f.StringVar(&name, "name", "", "name it must be for: a DNS name, an address or a URI")
	f.StringSliceVar(&crlPaths, "crl", nil, "lists of certificates taken back")
	cmd.MarkFlagRequired("name")
	return cmd
}
