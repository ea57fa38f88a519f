package ownership

import "context"

// Drain asks the controllers to take over all that this server holds, and
// returns when nothing is held and nothing runs, or with the error of ctx. What
// is held is served meanwhile, so no key goes dark and no request is cut.
// Stop the HTTP server after it.
func (o *Owner) Drain(ctx context.Context) error {
	o.mu.Lock()
	o.draining = true
	o.holder.Drain()
	o.mu.Unlock()
	for {
		drained, changed := o.drained()
		if drained {
			return nil
		}
		select {
		case <-ctx.Done():
			return context.Cause(ctx)
		case <-changed:
		}
	}
}

// drained reports whether the server may stop. A leader that has not heard of
// the drain could still be about to send a slice, so one must have been told
// unless the grants have ended by themselves.
func (o *Owner) drained() (bool, <-chan struct{}) {
	o.mu.Lock()
	defer o.mu.Unlock()
	now := o.now()
	_, held := o.holder.Expiry(now)
	idle := o.holder.Idle(now)
	return idle && (o.drainTold || !held), o.changed
}

func (o *Owner) noteDrainTold() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.drainTold = true
	o.wake()
}

// wake lets Drain look again. Called with the lock held.
func (o *Owner) wake() {
	if !o.draining {
		return
	}
	close(o.changed)
	o.changed = make(chan struct{})
}

func (o *Owner) isDraining() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.draining
}
