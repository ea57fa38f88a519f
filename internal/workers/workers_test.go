package workers

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/shalefork/shalefork/internal/clock"
)

func worker(id ID, state State) Worker {
	return Worker{ID: id, Service: "s", Address: string(id), Zone: "z", Slots: 2, State: state}
}

func TestDrainTimeCountsFromEarliestStart(t *testing.T) {
	for name, test := range map[string]struct {
		learn func(d *Directory)
		want  time.Duration
	}{
		"told":                      {learn: func(d *Directory) { d.Update([]Worker{worker("a", StateDraining)}, nil, nil) }, want: 300 * time.Millisecond},
		"found in a list":           {learn: func(d *Directory) { listed(d, time.Now()) }, want: 300*time.Millisecond + listAge},
		"late update":               {learn: func(d *Directory) { updatedLate(d, time.Second) }, want: 1300 * time.Millisecond},
		"two updates":               {learn: func(d *Directory) { updatedLate(d, time.Second); updatedLate(d, 0) }, want: 1300 * time.Millisecond},
		"listed after a disconnect": {learn: listedAfterDisconnect, want: 5300 * time.Millisecond},
		"update before the list":    {learn: updatedThenListed, want: 300 * time.Millisecond},
		"not draining":              {learn: func(d *Directory) { d.Replace([]Worker{worker("a", StateReady)}, nil, time.Now()) }},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				directory := NewDirectory()
				test.learn(directory)
				time.Sleep(300 * time.Millisecond)
				assert.Equal(t, directory.DrainingFor("a"), test.want)
			})
		})
	}
}

// updatedLate applies an update that the first process received some time ago.
func updatedLate(d *Directory, age time.Duration) {
	d.Update([]Worker{worker("a", StateDraining)}, nil, LearnedTimes{"a": time.Now().Add(-age)})
}

// listedAfterDisconnect reads a list with a draining worker 5 s after everything was known last.
func listedAfterDisconnect(d *Directory) {
	d.Replace([]Worker{worker("a", StateReady)}, nil, time.Now())
	listed(d, time.Now().Add(-5*time.Second))
}

// listed reads a list with a draining worker, if everything was known up to since.
func listed(d *Directory, since time.Time) {
	d.Replace([]Worker{worker("a", StateDraining)}, LearnedTimes{"a": d.EarliestListChange(since)}, since)
}

func updatedThenListed(d *Directory) {
	d.Update([]Worker{worker("a", StateDraining)}, nil, nil)
	d.Replace([]Worker{worker("a", StateDraining)}, nil, time.Now())
}

func TestGoneWorkersAreRemembered(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		directory := NewDirectory()
		directory.Replace([]Worker{worker("a", StateReady), worker("b", StateReady)}, nil, time.Now())
		directory.Replace([]Worker{worker("b", StateReady)}, nil, time.Now())
		directory.Update(nil, []ID{"b", "never known"}, nil)
		time.Sleep(time.Second)
		assert.Equal(t, directory.GoneFor("a"), time.Second)
		assert.Equal(t, directory.GoneFor("b"), time.Second)
		assert.Equal(t, directory.GoneFor("never known"), time.Duration(0))
		assert.Equal(t, directory.Count(), 0)
		directory.Update([]Worker{worker("a", StateReady)}, nil, nil)
		assert.Equal(t, directory.GoneFor("a"), time.Duration(0))
		list, _ := directory.ByService("s")
		assert.Equal(t, len(list), 1)
	})
}

func TestWorkersAreKeptWhenEntriesExpireDuringOutage(t *testing.T) {
	ready, draining := worker("a", StateReady), worker("a", StateDraining)
	for name, c := range map[string]struct {
		learn func(d *Directory)
		// soon: known right after; late: still known at the end.
		soon, late bool
	}{
		"missing from a list":       {learn: func(d *Directory) { d.Replace(nil, nil, time.Now()) }, soon: true},
		"removed by an update":      {learn: func(d *Directory) { d.Update(nil, []ID{"a"}, nil) }, soon: true},
		"removed twice":             {learn: func(d *Directory) { d.Update(nil, []ID{"a"}, nil); d.Replace(nil, nil, time.Now()) }, soon: true},
		"back soon":                 {learn: func(d *Directory) { d.Replace(nil, nil, time.Now()); d.Update([]Worker{ready}, nil, nil) }, soon: true, late: true},
		"back in a list":            {learn: func(d *Directory) { d.Replace(nil, nil, time.Now()); d.Replace([]Worker{ready}, nil, time.Now()) }, soon: true, late: true},
		"draining when it vanished": {learn: func(d *Directory) { d.Update([]Worker{draining}, nil, nil); d.Replace(nil, nil, time.Now()) }},
		"drains after it was back": {learn: func(d *Directory) {
			d.Replace(nil, nil, time.Now())
			d.Update([]Worker{draining}, nil, nil)
			d.Replace(nil, nil, time.Now())
		}},
		"others were connected":        {learn: func(d *Directory) { d.Replace(nil, nil, time.Now()); d.EndSettling() }},
		"others were connected before": {learn: func(d *Directory) { d.EndSettling(); d.Replace(nil, nil, time.Now()) }},
		"after settling":               {learn: func(d *Directory) { time.Sleep(2 * SettleTime); d.Replace(nil, nil, time.Now()) }},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				directory := NewDirectory()
				directory.Replace([]Worker{ready}, nil, time.Now())
				directory.BeginSettling(time.Now().Add(SettleTime))
				c.learn(directory)
				_, known := directory.Get("a")
				assert.Equal(t, known, c.soon)
				time.Sleep(SettleTime)
				synctest.Wait()
				_, known = directory.Get("a")
				assert.Equal(t, known, c.late)
				_, gone := directory.GoneAt("a")
				assert.Equal(t, gone, !c.late)
			})
		})
	}
}

// These reports show operators which workers were kept although their entries vanished, and until
// when.
func TestVanishedEntriesAreReported(t *testing.T) {
	for name, c := range map[string]struct {
		settling bool
		learn    func(d *Directory) Vanished
		want     Vanished
		expired  []ID
	}{
		"from a list":         {learn: func(d *Directory) Vanished { return d.Replace(nil, nil, time.Now()) }, want: Vanished{Gone: []ID{"a"}}},
		"by an update":        {learn: func(d *Directory) Vanished { return d.Update(nil, []ID{"a", "never known"}, nil) }, want: Vanished{Gone: []ID{"a"}}},
		"kept":                {settling: true, learn: func(d *Directory) Vanished { return d.Replace(nil, nil, time.Now()) }, want: Vanished{Kept: []ID{"a"}}, expired: []ID{"a"}},
		"kept, removed again": {settling: true, learn: goneTwice, want: Vanished{}, expired: []ID{"a"}},
		"kept, and is back":   {settling: true, learn: goneAndBack, want: Vanished{}},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				directory := NewDirectory()
				var expired []ID
				directory.OnExpired(func(ids []ID) { expired = append(expired, ids...) })
				directory.Replace([]Worker{worker("a", StateReady)}, nil, time.Now())
				if c.settling {
					directory.BeginSettling(time.Now().Add(SettleTime))
				}
				assert.DeepEqual(t, c.learn(directory), c.want)
				assert.Equal(t, directory.KeptCount(), len(c.expired))
				time.Sleep(SettleTime)
				synctest.Wait()
				assert.DeepEqual(t, expired, c.expired)
				assert.Equal(t, directory.KeptCount(), 0)
			})
		})
	}
}

func goneTwice(d *Directory) Vanished {
	d.Replace(nil, nil, time.Now())
	return d.Update(nil, []ID{"a"}, nil)
}

func goneAndBack(d *Directory) Vanished {
	d.Replace(nil, nil, time.Now())
	return d.Update([]Worker{worker("a", StateReady)}, nil, nil)
}

// A service that repeatedly becomes unreachable begins a settling period each time. A worker that
// left must not be kept for all of them.
func TestRepeatedOutagesDoNotExtendTheWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		directory := NewDirectory()
		directory.Replace([]Worker{worker("a", StateReady)}, nil, time.Now())
		directory.BeginSettling(time.Now().Add(SettleTime))
		directory.Replace(nil, nil, time.Now())
		for range 5 {
			time.Sleep(SettleTime / 2)
			directory.BeginSettling(time.Now().Add(SettleTime))
			directory.Replace(nil, nil, time.Now())
		}
		synctest.Wait()
		_, known := directory.Get("a")
		assert.Assert(t, !known)
		assert.Equal(t, directory.GoneFor("a"), 5*SettleTime/2, "counted from when its entry vanished")
	})
}

func TestPeerSettlingIsLimitedPerEntry(t *testing.T) {
	for name, c := range map[string]struct {
		settle func(d *Directory, now time.Time)
		kept   time.Duration
	}{
		"of a peer":       {settle: func(d *Directory, now time.Time) { d.BeginPeerSettling(now.Add(SettleTime), time.Second) }, kept: time.Second},
		"peer, ends soon": {settle: func(d *Directory, now time.Time) { d.BeginPeerSettling(now.Add(time.Second/2), time.Second) }, kept: time.Second / 2},
		"its own":         {settle: func(d *Directory, now time.Time) { d.BeginSettling(now.Add(SettleTime)) }, kept: SettleTime},
		"both": {settle: func(d *Directory, now time.Time) {
			d.BeginPeerSettling(now.Add(time.Second), time.Second)
			d.BeginSettling(now.Add(2 * time.Second))
		}, kept: 2 * time.Second},
		"own has passed":  {settle: func(d *Directory, now time.Time) { d.BeginSettling(now.Add(-time.Second)) }},
		"own is replaced": {settle: func(d *Directory, now time.Time) { d.BeginSettling(now.Add(time.Second)); d.BeginSettling(now) }},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				directory := NewDirectory()
				directory.Replace([]Worker{worker("a", StateReady)}, nil, time.Now())
				began := time.Now()
				c.settle(directory, began)
				directory.Update(nil, []ID{"a"}, nil)
				for directory.Count() > 0 {
					time.Sleep(time.Millisecond)
					synctest.Wait()
				}
				assert.Equal(t, time.Since(began), c.kept)
			})
		})
	}
}

func TestUnlistedWorkerIsGoneSinceItsFirstLookup(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		directory := NewDirectory()
		assert.Equal(t, directory.GoneFor("a"), time.Duration(0))
		time.Sleep(time.Second)
		assert.Equal(t, directory.GoneFor("a"), time.Duration(0), "no list has been read")
		directory.Replace(nil, nil, time.Now())
		time.Sleep(time.Second)
		assert.Equal(t, directory.GoneFor("a"), time.Duration(0), "first lookup: its entry may follow")
		time.Sleep(time.Second)
		assert.Equal(t, directory.GoneFor("a"), time.Second)
		directory.Update([]Worker{worker("a", StateReady)}, nil, nil)
		assert.Equal(t, directory.GoneFor("a"), time.Duration(0))
	})
}

// Workers continue to leave while this machine is suspended.
func TestWorkerTimesIncludeSuspension(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		directory := NewDirectory()
		directory.Replace([]Worker{worker("drains", StateReady), worker("leaves", StateReady), worker("lapses", StateReady)}, nil, time.Now())
		directory.BeginSettling(clock.Now().Add(time.Hour))
		directory.Update([]Worker{worker("drains", StateDraining)}, []ID{"lapses"}, nil)
		directory.BeginSettling(clock.Now())
		directory.Update(nil, []ID{"leaves"}, nil)
		defer clock.SimulateSuspension(8 * time.Second)()
		assert.Equal(t, directory.DrainingFor("drains"), 8*time.Second)
		assert.Equal(t, directory.GoneFor("leaves"), 8*time.Second)
		directory.Expire()
		assert.Equal(t, directory.KeptCount(), 0)
	})
}
