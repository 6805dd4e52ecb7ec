package platform

// Defaults where the platform gives no limit.
const (
	defaultDials        = 32
	defaultIdleClients  = 1024
	defaultAdminCallers = 32
	defaultHealthChecks = 256
	defaultDownstreams  = 1 << 20
	defaultMemoryLimit  = 1 << 40 // bytes
)

// reservedDescriptors are kept for what is neither a client's nor a host's: the standard three, the pollers,
// the listener, discovery, the configuration file, and clients that are accepted but not looked at yet.
const reservedDescriptors = 24

// heapShare is the part of the memory limit that the heap may take: stacks, the runtime's own structures and the files of a
// private $TMPDIR count against the limit too.
const heapShare = 0.7

// HotRestartDescriptors is how many descriptors a second process of this proxy needs beside those of its clients.
func (c *Config) HotRestartDescriptors() int { return reservedDescriptors + c.MaxAdminCallers() }

// MaxDials is how many connections may be opening at a time. Each may use a descriptor for a request that has dropped its dial.
func (c *Config) MaxDials() int {
	if c.Limits.Sockets <= 0 {
		return defaultDials
	}
	return min(defaultDials, max(8, c.Limits.Sockets/16))
}

// MaxIdleClients is how many clients may be connected without a request.
func (c *Config) MaxIdleClients() int {
	if c.Limits.Sockets <= 0 {
		return defaultIdleClients
	}
	return max(8, c.Limits.Sockets/8)
}

// MaxAdminCallers is how many operators' calls may be connected.
func (c *Config) MaxAdminCallers() int {
	switch {
	case c.Admin == "":
		return 0
	case c.Limits.Sockets <= 0:
		return defaultAdminCallers
	}
	return min(defaultAdminCallers, max(4, c.Limits.Sockets/32))
}

// MaxHealthChecks is how many connections may be open for health checks of hosts.
func (c *Config) MaxHealthChecks() int {
	switch {
	case !c.Settings.MayHealthCheck || len(c.ReportFields) == 0:
		return 0
	case c.Limits.Sockets <= 0:
		return defaultHealthChecks
	}
	return max(4, c.Limits.Sockets/16)
}

// MaxDownstreams is how many clients with a request fit the limit on descriptors: each may need one more, to its upstream
// host.
func (c *Config) MaxDownstreams() int {
	if c.Limits.Sockets <= 0 {
		return defaultDownstreams
	}
	return max(1, (c.Limits.Sockets-reservedDescriptors-c.MaxDials()-c.MaxIdleClients()-c.MaxAdminCallers()-c.MaxHealthChecks())/2)
}

// MaxThreads is how many threads may run Go code: more than the cores only adds switching.
func (c *Config) MaxThreads() int { return max(1, int(c.Limits.Cores)) }

// MemoryLimit is what the garbage collector works towards, in bytes: past the platform's limit the proxy is killed.
func (c *Config) MemoryLimit() int64 {
	if c.Limits.MemoryMB <= 0 {
		return defaultMemoryLimit
	}
	return int64(c.Limits.MemoryMB * heapShare * (1 << 20))
}
