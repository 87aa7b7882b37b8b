package knee

import (
	"math"
	"time"
)

const (
	// minSlots is the least number of announced slots that is limited. With fewer, one slot
	// less is a large part of the capacity, and too few requests run at each number to tell.
	minSlots = 8
	// buckets is the most numbers of busy slots that are told apart.
	buckets = 16
	// memory is the time constant with which samples lose their weight.
	memory = 30 * time.Second
	// kindSamples is the number of requests that the mean of a kind goes back.
	kindSamples = 400
	// priorWeight is the number of samples that the assumption counts that a server is no
	// slower with one more request.
	priorWeight = 6
	// minGain is how much more throughput a limit must promise. In the model of package
	// route, 1.15 left servers of five slots without a limit, and 1.05 took no slots from
	// servers that don't slow down that callers missed.
	minGain = 1.05
	// raiseInterval is the least time between two increases of the limit.
	raiseInterval = time.Second
	// maxSample bounds one sample, so that a single request that hung does not count as
	// many.
	maxSample = 4.0
)

type (
	// Curve holds the service times of one backend server by its busy slots. The zero
	// value is ready for use.
	Curve struct {
		slots   int
		samples []sample
		kinds   map[int]*kind
		at      time.Time
		limit   int
		// raisedAt is when the limit last changed.
		raisedAt time.Time
	}

	// sample is the weighted sum of service times in units of their kind's mean.
	sample struct {
		sum, weight float64
	}

	kind struct {
		mean  float64
		count int
	}
)

// Record adds the service time of a request of a kind during which the given number of a
// server's announced slots was busy, itself included.
func (c *Curve) Record(now time.Time, slots, priority, busy int, took time.Duration) {
	if slots < minSlots || took <= 0 {
		return
	}
	if slots != c.slots {
		c.slots, c.limit = slots, slots
		c.samples = make([]sample, min(slots, buckets))
	}
	decay := math.Exp(-now.Sub(c.at).Seconds() / memory.Seconds())
	for i := range c.samples {
		c.samples[i].sum *= decay
		c.samples[i].weight *= decay
	}
	c.at = now
	s := &c.samples[c.bucket(busy)]
	s.sum += min(took.Seconds()/c.kindMean(priority, took), maxSample)
	s.weight++
	c.adjust(now)
}

// Limit returns how many of the announced slots should be used.
func (c *Curve) Limit(slots int) int {
	if slots < minSlots || slots != c.slots {
		return slots
	}
	return c.limit
}

// adjust sets the limit to the best number of slots. It is lowered at once and raised
// slowly.
func (c *Curve) adjust(now time.Time) {
	best := c.best()
	if best == c.limit || best > c.limit && now.Sub(c.raisedAt) < raiseInterval {
		return
	}
	c.limit = min(best, c.limit+1)
	c.raisedAt = now
}

// best returns the number of slots with the highest throughput.
func (c *Curve) best() int {
	slowness := c.slowness()
	all := float64(c.slots) / slowness[len(slowness)-1]
	best, most := c.slots, minGain*all
	for busy := c.slots - 1; busy >= (c.slots+1)/2; busy-- {
		if throughput := float64(busy) / slowness[c.bucket(busy)]; throughput > most {
			best, most = busy, throughput
		}
	}
	return best
}

// slowness returns the mean service time of each bucket. More busy slots never make a
// server faster, so buckets in the wrong order are merged (isotonic regression). A bucket
// with few samples is close to the one before it.
func (c *Curve) slowness() []float64 {
	type block struct {
		sample
		last int
	}
	var blocks []block
	for i, s := range c.samples {
		if s.weight > 0 {
			blocks = append(blocks, block{sample: s, last: i})
		}
		for n := len(blocks); n > 1 && blocks[n-1].mean() < blocks[n-2].mean(); n = len(blocks) {
			blocks[n-2].sum += blocks[n-1].sum
			blocks[n-2].weight += blocks[n-1].weight
			blocks[n-2].last = blocks[n-1].last
			blocks = blocks[:n-1]
		}
	}
	fitted := make([]float64, 0, len(c.samples))
	previous := blocks[0].mean()
	for _, b := range blocks {
		previous = (b.sum + priorWeight*previous) / (b.weight + priorWeight)
		for len(fitted) <= b.last {
			fitted = append(fitted, previous)
		}
	}
	for len(fitted) < len(c.samples) {
		fitted = append(fitted, previous)
	}
	return fitted
}

func (s sample) mean() float64 {
	return s.sum / s.weight
}

// bucket returns the index of the samples for a number of busy slots.
func (c *Curve) bucket(busy int) int {
	return (min(max(busy, 1), c.slots) - 1) * len(c.samples) / c.slots
}

// kindMean adds a service time to the mean of its kind and returns the mean in seconds.
func (c *Curve) kindMean(priority int, took time.Duration) float64 {
	k, known := c.kinds[priority]
	if !known {
		if c.kinds == nil {
			c.kinds = map[int]*kind{}
		}
		k = &kind{}
		c.kinds[priority] = k
	}
	k.count = min(k.count+1, kindSamples)
	k.mean += (took.Seconds() - k.mean) / float64(k.count)
	return k.mean
}
