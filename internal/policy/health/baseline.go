package health

// SetRemoteBaseline sets the service's baseline as measured behind other sidecars. A zero
// Weight means that there is none.
func (k *Tracker) SetRemoteBaseline(baseline Baseline) {
	k.remote = baseline
}

// LocalBaseline returns the baseline of all servers in service here, for other sidecars.
func (k *Tracker) LocalBaseline() Baseline {
	return k.medianBaseline(nil)
}

// baseline returns what a server is compared with: the median over the other servers in
// service here, blended by weight with the remote baseline. Without other servers and
// without a prior its Weight is zero, and the server is not judged: its own past does not
// show what is normal now.
func (k *Tracker) baseline(except *server) Baseline {
	baseline := k.medianBaseline(except)
	if k.remote.Weight > 0 {
		baseline = blend(baseline, k.remote)
	}
	if k.config.Prior.Weight == 0 {
		return baseline
	}
	if baseline.Weight == 0 {
		return k.config.Prior
	}
	baseline.UnhealthyFailureRate = k.config.Prior.UnhealthyFailureRate
	baseline.FailureRate = max(baseline.FailureRate, k.config.Prior.FailureRate)
	return baseline
}

func (k *Tracker) medianBaseline(except *server) Baseline {
	var means, spreads, failures []float64
	for _, s := range k.servers {
		if s == except || s.state != InService || s.count < minSamples {
			continue
		}
		means = append(means, s.meanLog)
		spreads = append(spreads, s.spread())
		failures = append(failures, s.failureRate)
	}
	return Baseline{
		Mean:        median(means),
		Spread:      median(spreads),
		FailureRate: median(failures),
		Weight:      float64(len(means)),
	}
}

func blend(a, b Baseline) Baseline {
	total := a.Weight + b.Weight
	share := b.Weight / total
	return Baseline{
		Mean:        a.Mean + share*(b.Mean-a.Mean),
		Spread:      a.Spread + share*(b.Spread-a.Spread),
		FailureRate: a.FailureRate + share*(b.FailureRate-a.FailureRate),
		Weight:      total,
	}
}
