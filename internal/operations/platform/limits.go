package platform

// Defaults that apply if the platform sets no limit. Unless noted otherwise they are numbers of
// connections. defaultDials and defaultAdminCallers also bound the numbers derived from a limit.
const (
	defaultDials        = 32
	defaultIdleClients  = 1024
	defaultAdminCallers = 32
	defaultHealthChecks = 256
	defaultDownstreams  = 1 << 20
	defaultMemoryLimit  = 1 << 40 // bytes
)

// reservedDescriptors is the number of descriptors for other uses than clients and hosts: the three
// standard ones, the pollers, the listener, discovery, the configuration file, and clients that are
// accepted but not handled yet.
const reservedDescriptors = 24

// heapShare is the fraction of the platform's memory limit that the garbage collector's limit is set to.
// Stacks, the runtime's own structures and the files of a private $TMPDIR count against the platform's
// limit too.
const heapShare = 0.7

// HotRestartDescriptors returns the number of file descriptors that a second process of this proxy, in
// a hot restart, needs in addition to those of its clients.
func (c *Config) HotRestartDescriptors() int { return reservedDescriptors + c.MaxAdminCallers() }

// MaxDials returns how many dials, which are connects to hosts, may be in progress at a time. Their
// descriptors are counted apart from the clients', because a dial may outlast the request that it was
// for.
func (c *Config) MaxDials() int {
	if c.Limits.Sockets <= 0 {
		return defaultDials
	}
	return min(defaultDials, max(8, c.Limits.Sockets/16))
}

// MaxIdleClients returns how many clients may be connected without a request.
func (c *Config) MaxIdleClients() int {
	if c.Limits.Sockets <= 0 {
		return defaultIdleClients
	}
	return max(8, c.Limits.Sockets/8)
}

// MaxAdminCallers returns how many operators may be connected to the admin interface. It returns 0 if
// there is none.
func (c *Config) MaxAdminCallers() int {
	switch {
	case c.Admin == "":
		return 0
	case c.Limits.Sockets <= 0:
		return defaultAdminCallers
	}
	return min(defaultAdminCallers, max(4, c.Limits.Sockets/32))
}

// MaxHealthChecks returns how many connections may be open for health checks of hosts. It returns 0 if
// hosts may not be checked or send no load reports.
func (c *Config) MaxHealthChecks() int {
	switch {
	case !c.Settings.MayHealthCheck || len(c.ReportFields) == 0:
		return 0
	case c.Limits.Sockets <= 0:
		return defaultHealthChecks
	}
	return max(4, c.Limits.Sockets/16)
}

// MaxDownstreams returns how many clients with a request fit the limit on descriptors. Each may
// need a second descriptor, for its upstream host.
func (c *Config) MaxDownstreams() int {
	if c.Limits.Sockets <= 0 {
		return defaultDownstreams
	}
	return max(1, (c.Limits.Sockets-reservedDescriptors-c.MaxDials()-c.MaxIdleClients()-c.MaxAdminCallers()-c.MaxHealthChecks())/2)
}

// MaxThreads returns how many threads may run Go code: the number of cores rounded down, at least 1.
// More threads than cores would only add switching.
func (c *Config) MaxThreads() int { return max(1, int(c.Limits.Cores)) }

// MemoryLimit returns the soft memory limit of the garbage collector, in bytes. It is below the
// platform's limit, beyond which the platform kills the proxy.
func (c *Config) MemoryLimit() int64 {
	if c.Limits.MemoryMB <= 0 {
		return defaultMemoryLimit
	}
	return int64(c.Limits.MemoryMB * heapShare * (1 << 20))
}
