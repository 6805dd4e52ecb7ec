package balancer

// Gains of the smoothed costs, by sample: a mean over all classes moves more slowly than that of one.
const (
	classCostGain = 1.0 / 32
	meanCostGain  = 1.0 / 64
)

// Bounds of a connection's turns: one odd expectation must not upset the rotation.
const (
	minTurns = 0.125
	maxTurns = 8
)

// connectionCosts estimates the load that connections bring, in the unit of Request.ExpectedLoad.
type connectionCosts struct {
	mean    float64 // 0: there is no connection yet
	byClass []float64
}

// estimate is the load that a request's connection will bring; 1 where nothing is known.
func (c *connectionCosts) estimate(q *Request) float64 {
	cost := q.ExpectedLoad
	if cost <= 0 {
		cost = c.byClass[q.Class]
	}
	if cost <= 0 {
		cost = c.mean
	}
	if cost <= 0 {
		return 1
	}
	if q.ExpectedLoad > 0 {
		c.addSample(q.Class, cost)
	}
	return cost
}

// addSample records the cost of a connection of a class.
func (c *connectionCosts) addSample(class int, cost float64) {
	if c.byClass[class] == 0 {
		c.byClass[class] = cost
	}
	c.byClass[class] += (cost - c.byClass[class]) * classCostGain
	if c.mean == 0 {
		c.mean = cost
	}
	c.mean += (cost - c.mean) * meanCostGain
}

// turns is a cost in mean connections, as the rotation counts it.
func (c *connectionCosts) turns(cost float64) float64 {
	if c.mean <= 0 {
		return 1
	}
	return min(maxTurns, max(minTurns, cost/c.mean))
}

// unit is the cost of a mean connection, 1 at least.
func (c *connectionCosts) unit() float64 { return max(1, c.mean) }
