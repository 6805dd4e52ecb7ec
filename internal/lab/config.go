package lab

import (
	"time"

	"croftlock/internal/fake"
)

// processConfig is the configuration file of one proxy, in the platform's names.
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

type processLimits struct {
	Cores    float64 `json:"cores"`
	MemoryMB float64 `json:"memory_mb"`
	Sockets  int     `json:"sockets"`
}

type processSettings struct {
	Me         int             `json:"me"`
	PeersTotal int             `json:"peers_total"`
	Discovery  string          `json:"discovery"`
	Bounds     processBounds   `json:"bounds"`
	Contract   processContract `json:"contract"`
	Classes    []processClass  `json:"lanes"`
}

// processBounds holds times in nanoseconds.
type processBounds struct {
	MayTell        bool  `json:"may_tell"`
	MaxAttempts    int   `json:"try_limit"`
	ConnectTimeout int64 `json:"connect_timeout"`
	RetryAfter     bool  `json:"retry_after"`
	MaxRetryAfter  int64 `json:"max_retry_after"`
}

type processContract struct {
	MustAskIn int64 `json:"must_ask_in"` // nanoseconds
}

type processClass struct {
	Name     string `json:"name"`
	Aim      int64  `json:"on_time"`  // nanoseconds
	Deadline int64  `json:"deadline"` // nanoseconds
	Effect   string `json:"semantics"`
}

// The platform's names for how lists come and for a class whose requests may be repeated.
const (
	listsAsked  = "subscribe"
	listsPushed = "automatic"
	safeClass   = "read_like"
)

// setDefaults fills in what an experiment leaves out.
func (s *Setup) setDefaults() {
	setDefault(&s.Cores, 1)
	setDefault(&s.Sockets, 4096)
	setDefault(&s.MemoryMB, 192)
	setDefault(&s.Connect, 250*time.Millisecond)
	setDefault(&s.Deadline, 2*time.Second)
	setDefault(&s.Listen, "127.0.0.1:0")
}

func setDefault[T comparable](value *T, to T) {
	var unset T
	if *value == unset {
		*value = to
	}
}

// config is the configuration file that a process is started with.
func (s *Setup) config() processConfig {
	lists := listsAsked
	if s.Pushed {
		lists = listsPushed
	}
	return processConfig{
		Name: s.Name, Listen: s.Listen, Admin: s.Admin, Discovery: s.Discovery, Seed: "1f", Known: s.Known, PeerListen: s.PeerListen, Peers: s.Peers,
		Limits: processLimits{Cores: s.Cores, MemoryMB: s.MemoryMB, Sockets: s.Sockets},
		Settings: processSettings{Me: s.Me, PeersTotal: max(1, len(s.Peers)), Discovery: lists,
			Bounds: processBounds{MayTell: len(s.Peers) > 0, MaxAttempts: 5, ConnectTimeout: int64(s.Connect), RetryAfter: true,
				MaxRetryAfter: int64(time.Second)},
			Contract: processContract{MustAskIn: int64(10 * time.Second)},
			Classes:  []processClass{{Name: class, Aim: int64(800 * time.Millisecond), Deadline: int64(s.Deadline), Effect: safeClass}}},
	}
}
