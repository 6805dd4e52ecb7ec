package balancer

// Smoothing factors: the fraction of the difference between a sample and the mean by which the mean
// moves. The mean over all classes changes more slowly than the mean of one class.
const (
	classCostGain = 1.0 / 32
	meanCostGain  = 1.0 / 64
)

// Bounds of a connection's turns, its cost relative to that of a mean connection. They keep one
// implausible expected load from upsetting the rotation.
const (
	minTurns = 0.125
	maxTurns = 8
)

// connectionCosts estimates the load of connections, in the unit of Request.ExpectedLoad.
type connectionCosts struct {
	mean    float64   // of all classes; 0 until the first sample
	byClass []float64 // mean of each class of Config.Classes; 0 until the first sample of the class
}

// estimate returns the load that a request's connection is expected to cause: the request's own
// expected load, else the mean of its class, else the mean of all classes, else 1. It adds an
// expected load in the request as a sample to both means.
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

// turns returns the given cost in mean connections, the unit of the rotation, from minTurns to
// maxTurns. It returns 1 if the mean is unknown.
func (c *connectionCosts) turns(cost float64) float64 {
	if c.mean <= 0 {
		return 1
	}
	return min(maxTurns, max(minTurns, cost/c.mean))
}

// unit returns the cost of a mean connection, at least 1.
func (c *connectionCosts) unit() float64 { return max(1, c.mean) }
