package balancer

// Smoothing factors per sample. The mean over all classes changes more slowly than that of one
// class.
const (
	classCostGain = 1.0 / 32
	meanCostGain  = 1.0 / 64
)

// Bounds of a connection's turns, so that one implausible expected load cannot upset the rotation.
const (
	minTurns = 0.125
	maxTurns = 8
)

// connectionCosts estimates the load of connections, in the unit of Request.ExpectedLoad.
type connectionCosts struct {
	mean    float64   // 0 until the first sample
	byClass []float64 // means; 0 until the first sample of the class
}

// estimate returns the load that a request's connection is expected to cause, or 1 if nothing is
// known. An expected load in the request counts as a sample.
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

// turns returns the given cost in mean connections, the unit of the rotation. It returns 1 if the
// mean is unknown.
func (c *connectionCosts) turns(cost float64) float64 {
	if c.mean <= 0 {
		return 1
	}
	return min(maxTurns, max(minTurns, cost/c.mean))
}

// unit returns the cost of a mean connection, at least 1.
func (c *connectionCosts) unit() float64 { return max(1, c.mean) }
