package place

import "time"

// SetEvacuated replaces the set of evacuated data centres. Their workers get no new
// tasks and keep those that they have. While any data centre is evacuated, neither
// does a worker whose data centre is not known.
func (p *Placer) SetEvacuated(dataCentres []string) {
	clear(p.evacuated)
	for _, dataCentre := range dataCentres {
		p.evacuated[dataCentre] = true
	}
	for _, w := range p.workers {
		w.evacuated = p.isEvacuated(w.DataCentre)
	}
	p.limitQuarantines()
}

// limitQuarantines ends the quarantines if too many of the workers that are not
// evacuated have one: little or nothing would be left to run the tasks. Each of
// these workers is tried with a single task.
func (p *Placer) limitQuarantines() {
	quarantined, open := 0, 0
	for _, w := range p.workers {
		if w.evacuated {
			continue
		}
		open++
		if !w.health.quarantinedUntil.IsZero() {
			quarantined++
		}
	}
	if float64(quarantined) <= maxQuarantinedFraction*float64(open) {
		return
	}
	for _, w := range p.workers {
		if !w.evacuated {
			w.health.quarantinedUntil = time.Time{}
		}
	}
}

// isEvacuated reports whether no task may start in the data centre.
func (p *Placer) isEvacuated(dataCentre string) bool {
	if dataCentre == "" {
		return len(p.evacuated) > 0
	}
	return p.evacuated[dataCentre]
}

// IsEvacuated reports whether no task may start on the worker because of its data
// centre, which is not known for a worker that has not joined.
func (p *Placer) IsEvacuated(worker string) bool {
	if w, ok := p.workers[worker]; ok {
		return w.evacuated
	}
	return p.isEvacuated("")
}

// FitsOnlyEvacuated reports whether a task of the declared size fits an evacuated
// worker, when empty, and no other.
func (p *Placer) FitsOnlyEvacuated(declared Size) bool {
	fits := false
	for _, w := range p.workers {
		if !declared.Fits(w.Size) {
			continue
		}
		if !w.evacuated {
			return false
		}
		fits = true
	}
	return fits
}
