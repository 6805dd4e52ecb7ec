package soak

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"time"
)

const (
	refusedTenant = "closed" // the tenant whose requests the fleet's rules refuse
	refusedShare  = 4        // one in refusedShare requests is of that tenant
	ruleVoters    = 3        // proxies that vote; the first ones
	// voterRestartPause is the time that operators leave between the replacements of two voters that keep
	// their state in memory.
	voterRestartPause = 5 * time.Second
	agreeTimeout      = 20 * time.Second // for the fleet to agree on the rules
)

// rulesSettings returns the sections of proxy i's settings file for rules on which the fleet agrees.
func (f *Fleet) rulesSettings(i int) string {
	var peers, voters []string
	for k := range f.options.Proxies {
		peers = append(peers, f.address(peerAddress, k))
	}
	for k := range ruleVoters {
		voters = append(voters, fmt.Sprint("n", k))
	}
	return fmt.Sprintf("(membership (on on) (fleet soak) (listen %q) (peers %q))\n", f.address(peerAddress, i), strings.Join(peers, " ")) +
		fmt.Sprintf("(owners (on on) (voters %q) (hosts on) (rules on) (agree_within 3s) (when_cut refuse) (socket %q))\n", strings.Join(voters, " "), f.ownersSocket(i))
}

// ownersSocket returns the path of the socket at which operators ask proxy i.
func (f *Fleet) ownersSocket(i int) string {
	return filepath.Join(f.env.Dir, fmt.Sprintf("owners%d.sock", i))
}

// agreeOnRules puts rules that refuse a tenant, and waits until they are active at all proxies.
func (f *Fleet) agreeOnRules() error {
	file := filepath.Join(f.env.Dir, "rules.sexp")
	if err := os.WriteFile(file, fmt.Appendf(nil, "(rules (refuse closed (tenant %s) (advice 200ms)))", refusedTenant), 0o600); err != nil {
		return err
	}
	active := fmt.Sprintf("active: version 1 at %d of %d", f.options.Proxies, f.options.Proxies)
	answer := ""
	for end := time.Now().Add(agreeTimeout); time.Now().Before(end); time.Sleep(200 * time.Millisecond) {
		if answer = f.operatorCommand("put", file, "--against", "0"); !strings.HasPrefix(answer, active) {
			answer = f.operatorCommand("show")
		}
		if strings.HasPrefix(answer, active) {
			return nil
		}
	}
	return fmt.Errorf("the fleet does not agree on the rules within %v: %s", agreeTimeout, answer)
}

// operatorCommand runs a command of the program about rules at proxy 0 and returns its output.
func (f *Fleet) operatorCommand(args ...string) string {
	out, _ := exec.Command(f.env.Croftlock, append(append([]string{"rules"}, args...), "--socket", f.ownersSocket(0))...).CombinedOutput()
	return strings.TrimSpace(string(out))
}

// mayEnd reports whether a fault may end the proxy's process without a successor. Voters that keep their
// state in memory are only replaced.
func (n *Node) mayEnd() bool { return !n.fleet.options.Rules || n.number >= ruleVoters }

// checkRefusal checks that a request that the fleet's rules refuse was neither served nor attempted.
func (o *oracle) checkRefusal(r *clientRequest, outcome Outcome, attempts []*hostAttempt) {
	if r.Request.ExtraFields == "t="+refusedTenant && (outcome.Answer == Served || len(attempts) > 0) {
		o.addViolation(RefusedTenantUsed, "%s: answered %q, %d attempts; %s", r, outcome.Answer, len(attempts), r.process)
	}
}
