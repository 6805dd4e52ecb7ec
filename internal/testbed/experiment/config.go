package experiment

import (
	"time"

	"croftlock/internal/testbed/fake"
)

// processConfig is the configuration file of one proxy. Its JSON keys are the platform's.
type processConfig struct {
	Name       string          `json:"name"`
	Listen     string          `json:"listen"`
	Admin      string          `json:"admin_addr"`
	Discovery  string          `json:"discovery"`
	Seed       string          `json:"seed"`
	Limits     processLimits   `json:"limits"`
	Known      fake.List       `json:"known"`
	PeerListen string          `json:"peer_listen"`
	Peers      []string        `json:"peers"`
	Settings   processSettings `json:"settings"`
}

// processLimits specifies the resources that the platform grants the process.
type processLimits struct {
	Cores    float64 `json:"cores"`
	MemoryMB float64 `json:"memory_mb"`
	Sockets  int     `json:"sockets"`
}

// processSettings is the platform's settings object.
type processSettings struct {
	Number     int             `json:"me"`
	PeersTotal int             `json:"peers_total"`
	Discovery  string          `json:"discovery"`
	Bounds     processBounds   `json:"bounds"`
	Contract   processContract `json:"contract"`
	Classes    []processClass  `json:"lanes"`
}

// processBounds limits attempts and waits. Its durations are in nanoseconds.
type processBounds struct {
	MayAnnounce    bool  `json:"may_tell"`
	MaxAttempts    int   `json:"try_limit"`
	ConnectTimeout int64 `json:"connect_timeout"`
	RetryAfter     bool  `json:"retry_after"`
	MaxRetryAfter  int64 `json:"max_retry_after"`
}

// processContract specifies what the platform requires of the process.
type processContract struct {
	MustQueryIn int64 `json:"must_ask_in"` // nanoseconds
}

// processClass is a class of requests in the platform's settings.
type processClass struct {
	Name             string `json:"name"`
	LatencyObjective int64  `json:"on_time"`  // nanoseconds
	Deadline         int64  `json:"deadline"` // nanoseconds
	Idempotency      string `json:"semantics"`
	Scope            string `json:"dedup_scope,omitempty"`
	Window           int64  `json:"key_ttl,omitempty"` // nanoseconds
}

// Class is a class of requests, for an experiment that uses more than one.
type Class struct {
	Name        string
	Deadline    time.Duration
	Idempotency Idempotency
	Window      time.Duration // dedup window; used only with IdempotentByKey
}

// Idempotency specifies whether the requests of a class may be repeated. Its values are those of the
// settings.
type Idempotency string

// The values of Idempotency.
const (
	Idempotent      Idempotency = "read_like"
	IdempotentByKey Idempotency = "idempotency_key" // idempotent within the dedup window, by its idempotency key
	NonIdempotent   Idempotency = "non_idempotent"
)

// maxLatencyObjective is the latency objective of classes whose deadline is longer.
const maxLatencyObjective = 800 * time.Millisecond

// classes returns the settings of the classes. If s.Classes is empty, it sets it to one class of
// idempotent requests.
func (s *Setup) classes() (out []processClass) {
	if len(s.Classes) == 0 {
		s.Classes = []Class{{Name: requestClass, Deadline: s.Deadline, Idempotency: Idempotent}}
	}
	for _, c := range s.Classes {
		p := processClass{Name: c.Name, LatencyObjective: int64(min(maxLatencyObjective, c.Deadline)), Deadline: int64(c.Deadline), Idempotency: string(c.Idempotency)}
		if c.Idempotency == IdempotentByKey {
			p.Scope, p.Window = "all", int64(c.Window)
		}
		out = append(out, p)
	}
	return out
}

// The platform's values for how a proxy receives endpoint lists.
const (
	discoveryPolled = "subscribe" // the proxy polls discovery
	discoveryPushed = "automatic" // an agent pushes lists to the proxy
)

// setDefaults sets the fields that an experiment left at zero.
func (s *Setup) setDefaults() {
	setIfZero(&s.Cores, 1)
	setIfZero(&s.MaxDescriptors, 4096)
	setIfZero(&s.MemoryMB, 192)
	setIfZero(&s.ConnectTimeout, 250*time.Millisecond)
	setIfZero(&s.Deadline, 2*time.Second)
	setIfZero(&s.Listen, "127.0.0.1:0")
}

// setIfZero sets *value to defaultValue if it is the zero value of its type.
func setIfZero[T comparable](value *T, defaultValue T) {
	var unset T
	if *value == unset {
		*value = defaultValue
	}
}

// config returns the process's configuration file.
func (s *Setup) config() processConfig {
	discoveryMode := discoveryPolled
	if s.ListsPushed {
		discoveryMode = discoveryPushed
	}
	return processConfig{
		Name: s.Name, Listen: s.Listen, Admin: s.Admin, Discovery: s.Discovery, Seed: "1f", Known: s.InitialList, PeerListen: s.Tier.Listen, Peers: s.Tier.Peers,
		Limits: processLimits{Cores: s.Cores, MemoryMB: s.MemoryMB, Sockets: s.MaxDescriptors},
		Settings: processSettings{Number: s.Tier.Index, PeersTotal: max(1, len(s.Tier.Peers)), Discovery: discoveryMode,
			Bounds: processBounds{MayAnnounce: len(s.Tier.Peers) > 0, MaxAttempts: 5, ConnectTimeout: int64(s.ConnectTimeout), RetryAfter: true,
				MaxRetryAfter: int64(time.Second)},
			Contract: processContract{MustQueryIn: int64(10 * time.Second)},
			Classes:  s.classes()},
	}
}
