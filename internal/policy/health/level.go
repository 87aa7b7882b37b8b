package health

// Remote tells how the service does behind other sidecars.
func (k *Tracker) Remote(level Level) {
	k.remote = level
}

// Summary returns the level of all servers in service, to be told to others.
func (k *Tracker) Summary() Level {
	return k.local(nil)
}

// level is how the others do: the median over the servers in service here and
// what is known of those elsewhere. Without others there is no level, and no
// server is judged: its own past tells nothing of what is normal now.
func (k *Tracker) level(except *server) Level {
	level := k.local(except)
	if k.remote.Weight > 0 {
		level = blend(level, k.remote)
	}
	if k.config.Prior.Weight == 0 {
		return level
	}
	if level.Weight == 0 {
		return k.config.Prior
	}
	level.Sick = k.config.Prior.Sick
	level.Failure = max(level.Failure, k.config.Prior.Failure)
	return level
}

func (k *Tracker) local(except *server) Level {
	var means, spreads, failures []float64
	for _, s := range k.servers {
		if s == except || s.state != InService || s.count < trustedSamples {
			continue
		}
		means = append(means, s.mean)
		spreads = append(spreads, s.spread())
		failures = append(failures, s.failure)
	}
	return Level{
		Mean:    median(means),
		Spread:  median(spreads),
		Failure: median(failures),
		Weight:  float64(len(means)),
	}
}

func blend(a, b Level) Level {
	total := a.Weight + b.Weight
	share := b.Weight / total
	return Level{
		Mean:    a.Mean + share*(b.Mean-a.Mean),
		Spread:  a.Spread + share*(b.Spread-a.Spread),
		Failure: a.Failure + share*(b.Failure-a.Failure),
		Weight:  total,
	}
}
