package balancerconfig

// settings is the part of the platform's settings object that is used. The tags are the protocol's
// names. Durations are in nanoseconds. package balancer documents the meaning of the values in its
// type Config.
type settings struct {
	Instance        int        `json:"me"`
	Instances       int        `json:"peers_total"`
	Zone            string     `json:"my_zone"`
	Zones           []string   `json:"zones"`
	Tick            int64      `json:"step"`
	Family          string     `json:"family"` // unused, but must be a string
	Classes         []class    `json:"lanes"`
	Tenants         []tenant   `json:"orgs"`
	OverQuotaWeight float64    `json:"over_share_worth"`
	PriorityBy      string     `json:"worth_by"`
	Discovery       string     `json:"discovery"`
	Limits          limits     `json:"bounds"`
	Contract        contract   `json:"contract"`
	Report          loadReport `json:"report"`
	Extra           extra      `json:"extra"`
	Prices          prices     `json:"tariffs"`
}

// class is one class of request.
type class struct {
	Name               string  `json:"name"`
	LatencyObjective   int64   `json:"on_time"`
	Deadline           int64   `json:"deadline"`
	Semantics          string  `json:"semantics"`
	DedupScope         string  `json:"dedup_scope"`
	DedupWindow        int64   `json:"key_ttl"`
	PriorityWeight     float64 `json:"gain"`
	LatePriorityWeight float64 `json:"late_worth"`
}

// tenant is one tenant and its quotas.
type tenant struct {
	Name         string  `json:"name"`
	RateQuota    float64 `json:"quota_per_s"` // requests per second, rounded to an integer
	ServiceQuota float64 `json:"fraction"`
}

// limits specifies what a balancer may do.
type limits struct {
	MayCancel       bool  `json:"cancelling"`
	ConnectTimeout  int64 `json:"connect_timeout"`
	IdleTimeout     int64 `json:"idle_close"`
	MaxRetryAfter   int64 `json:"max_retry_after"`
	MayGossip       bool  `json:"may_tell"`
	MayHealthCheck  bool  `json:"probes"`
	SendsRetryAfter bool  `json:"retry_after"`
	MaxAttempts     int   `json:"try_limit"`
}

// contract holds the guarantees that hosts and balancers give each other, for example how much a host
// that has just started can serve.
type contract struct {
	AnswerSlack             int64   `json:"answer_slack"`
	SlowStartFloor          float64 `json:"cold_from"`
	DrainGrace              int64   `json:"drain_grace"`
	SlowStartOverloadWindow int64   `json:"fall"`
	SlowStartOverloadFactor float64 `json:"fall_multiple"`
	PollInterval            int64   `json:"must_ask_in"`
	SlowStartDuration       int64   `json:"warm_up"`
}

// loadReport specifies how hosts report their load ("none" if they do not), and the names of a report's
// fields in order.
type loadReport struct {
	How    string   `json:"how"`
	Fields []string `json:"fields"`
}

// extra holds further settings. MessageObjectives has the latency objective for messages of each class,
// and ConnectionQuotas the quota of open connections of each tenant, in the order of settings.Classes
// and settings.Tenants.
type extra struct {
	Mode              string    `json:"mode"`
	ParkDuration      int64     `json:"park"`
	MessageObjectives []int64   `json:"message_aim"`
	ConnectionQuotas  []float64 `json:"tenant_quota_connections"`
}

// prices holds what the operators deduct per unit of each kind.
type prices struct {
	CrossZone   float64 `json:"cross_zone"`
	Waste       float64 `json:"waste"`
	HealthCheck float64 `json:"probe"`
	PeerMessage float64 `json:"peer"`
	LateFail    float64 `json:"late_fail"`
	Handshake   float64 `json:"handshake"`
	Migration   float64 `json:"moves"`
	Connection  float64 `json:"connection"`
	Discovery   float64 `json:"discovery"`
}
