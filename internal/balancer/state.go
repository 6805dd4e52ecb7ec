package balancer

import (
	"errors"
	"fmt"
	"math/rand"

	"croftlock/internal/balancer/ledger"
	"croftlock/internal/balancer/loadestimate"
)

// What a balancer remembers, and how it begins. Nothing is decided here.

type server struct {
	id         string
	zone, cell int
	hash       uint64
	weight     float64
	since      Time
	state      HostState
	known      bool
	lag        float64 // turns owed: the smooth weighted rotation picks the largest
	fails      int     // consecutive failed connects
	until      Time    // quarantined until then
	failedAt   Time    // when the failure counted last was seen
	trials     int     // attempts out while fails > 0
	passed     Time    // said full: its turn passes until then
	ill        float64 // 0 well .. 1 failing, fades with time
	illAt      Time
	delay      float64 // last message delay told, over the shortest message aim
	delayAt    Time
	toldAt     Time    // when some balancer last told of it
	telling    bool    // to be told unless another does before
	tokens     float64 // cold budget left, in mean connections
	tokensAt   Time
	conns      []*request        // open connections placed by this balancer
	load       float64           // their load
	x          float64           // scratch: its load in the pick under way, where it is told
	before     float64           // scratch: 1 if another is to hold the group in the pick under way
	told       loadestimate.Host // its load, where it is told
	probing    bool              // a probe is out
	probedAt   Time
	eff        float64 // scratch: weight in the pick under way
	lucky      bool    // scratch: cold, and drawn by lot in the pick under way
}

type request struct {
	Request
	deadline Time
	attempts int
	out      bool // an attempt is out
	server   *server
	sentAt   Time
	cost     float64
	tried    []*server
	up       bool    // the connection stands
	at       int     // place in server.conns
	load     float64 // what it adds to server.load
	held     bool
	holdTo   Time
	waitTo   Time    // not placed before: paced
	ranOn    *server // first attempt that may have run
	ranAt    Time
	closed   bool // answered; only outcomes are awaited
	moved    bool
	asked    bool    // the keeper of the book for a server
	waits    bool    // for its answer
	booked   bool    // it has answered
	units    int     // its load as messages carry it
	granted  *server // its answer, until the connection stands
	spare    bool    // refused by restraint, unless a cold server's budget bears it
	flow     float64 // how many like it come a second, all balancers together
}

// Balancer is one balancer's decisions.
type Balancer struct {
	cfg       Config
	fx        Effects
	rng       *rand.Rand
	now       Time
	servers   []*server // sorted by id: the rotation's order, the same at every balancer
	byID      map[string]*server
	zones     map[string]int
	requests  map[string]*request
	held      []*request
	pumping   bool
	haveList  bool
	watching  bool
	asking    bool
	askFails  int
	qInit     Time
	qMax      Time
	aimMin    float64 // shortest message aim, milliseconds
	aimLong   Time
	meanCost  float64
	classCost []float64
	rate      float64 // fresh connections a second, in mean connections, smoothed
	rateAt    Time
	fresh     float64 // first tries of late, fading as rate does
	again     tally   // requests that came again within the window of a fall
	usual     float64 // fresh connections a second that the settings let expect here; 0: they tell nothing
	among     int     // scratch: servers of what age are looked among in the pick under way
	standing  float64 // and open connections, at all balancers
	left      tally   // weight of servers that have begun to send their clients away
	started   Time
	setup     float64 // smoothed set-up time and its deviation
	setupDev  float64
	setups    int
	sampled   Time    // when it was last seen
	doneBy    [2]Time // until when a set-up begun now would take, as the last two tell
	errors    int     // requests in a row whose first attempt ended in an error
	erredAt   Time    // the last of them
	ups       int     // connections that stand
	good, bad float64 // recent set-ups that stood and that timed out, fading
	fadeAt    Time
	scratch   []*server
	orders    map[string][]int32 // of servers, by group; until the list changes

	tried, stood float64 // attempts of late, and those that stood, fading
	triedAt      Time
	desk         *ledger.Client
	book         *ledger.Placements
	bookOpen     bool    // it has been said that a book is kept here
	bookDue      Time    // when the keeper is to be told all that is held here
	epoch        byte    // of the book here
	askedFor     tally   // fresh requests that all balancers ask a server for
	fleet        float64 // weight of the fleet, sinking slowly
	fleetAt      Time
	restraint    float64   // part of the load asked for that is refused, least worth for its work first
	zone         int       // own
	spill        float64   // 0: other zones keep the turns that the price of a crossing leaves them, 1: all
	asked        []float64 // load asked for by class, fading
	tenants      []int     // open connections by tenant
	full         float64   // load that fills a server, in the unit of server.load
	usualLoad    float64   // of the servers that tell
}

// New makes a balancer. It refuses settings that cannot be used.
func New(cfg Config, seed int64, fx Effects) (*Balancer, error) {
	if fx == nil {
		return nil, errors.New("brain: no Effects given")
	}
	if len(cfg.Classes) == 0 {
		return nil, errors.New("brain: settings name no class of request")
	}
	if cfg.Instances < 1 || cfg.Instance < 0 {
		return nil, fmt.Errorf("brain: balancer %d of %d is not possible", cfg.Instance, cfg.Instances)
	}
	if cfg.MaxAttempts < 1 {
		return nil, fmt.Errorf("brain: at most %d attempts allows none", cfg.MaxAttempts)
	}
	for _, c := range cfg.Classes {
		if c.Deadline <= 0 || c.LatencyObjective <= 0 {
			return nil, fmt.Errorf("brain: class %q needs an aim and a deadline above zero", c.Name)
		}
	}
	b := &Balancer{cfg: cfg, fx: fx, rng: rand.New(rand.NewSource(seed)), byID: map[string]*server{},
		zones: map[string]int{}, requests: map[string]*request{}, orders: map[string][]int32{}, started: -1,
		desk: ledger.NewClient(cfg.Instances), book: ledger.NewPlacements()}
	for _, z := range cfg.Zones {
		b.zoneOf(z)
	}
	b.zone = b.zoneOf(cfg.Zone)
	longest := Time(0)
	for _, c := range cfg.Classes {
		longest = max(longest, c.Deadline)
		b.aimLong = max(b.aimLong, c.LatencyObjective)
		if ms := float64(c.MessageLatencyObjective) / 1e6; ms > 0 && (b.aimMin == 0 || ms < b.aimMin) {
			b.aimMin = ms
		}
	}
	b.classCost, b.asked = make([]float64, len(cfg.Classes)), make([]float64, len(cfg.Classes))
	b.tenants = make([]int, len(cfg.Tenants))
	for _, t := range cfg.Tenants {
		b.usual += usualPart * t.RateQuota / float64(cfg.Instances)
		b.standing += usualPart * t.ConnectionQuota
	}
	// A first quarantine outlasts every request that saw the failure, so that none meets it twice.
	b.qInit, b.qMax = longest, Time(float64(longest)*quarantineCap)
	if cfg.EjectionInitial >= 0 {
		b.qInit = cfg.EjectionInitial
	}
	if cfg.EjectionMax >= 0 {
		b.qMax = cfg.EjectionMax
	}
	if b.qMax < b.qInit && b.qMax > 0 {
		return nil, errors.New("brain: the longest quarantine is shorter than the first")
	}
	return b, nil
}

// stand notes a connection that is up.
func (b *Balancer) stand(r *request) {
	s := r.server
	r.up, r.at, r.load = true, len(s.conns), r.cost
	s.conns = append(s.conns, r)
	s.load += r.load
	b.ups++
	b.settle(r, s)
	if r.Tenant >= 0 {
		b.tenants[r.Tenant]++
	}
}

// leave notes its end.
func (b *Balancer) leave(r *request) {
	if !r.up {
		return
	}
	s := r.server
	last := len(s.conns) - 1
	s.conns[r.at] = s.conns[last]
	s.conns[r.at].at = r.at
	s.conns = s.conns[:last]
	s.load -= r.load
	b.ups--
	b.holds(s, r, -1)
	b.placed(s, -r.load/max(1, b.meanCost))
	if last == 0 {
		s.load = 0
	}
	r.up = false
	if r.Tenant >= 0 {
		b.tenants[r.Tenant]--
	}
}
