package workers

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

func worker(id ID, state State) Worker {
	return Worker{ID: id, Service: "s", Address: string(id), Zone: "z", Slots: 2, State: state}
}

func TestDrainingCountsFromWhenItMayHaveBegun(t *testing.T) {
	for name, test := range map[string]struct {
		learn func(d *Directory)
		want  time.Duration
	}{
		"told":                    {learn: func(d *Directory) { d.Update([]Worker{worker("a", StateDraining)}, nil) }, want: 300 * time.Millisecond},
		"found in a list":         {learn: func(d *Directory) { d.Replace([]Worker{worker("a", StateDraining)}) }, want: 300*time.Millisecond + listAge},
		"told before it was read": {learn: toldThenListed, want: 300 * time.Millisecond},
		"not draining":            {learn: func(d *Directory) { d.Replace([]Worker{worker("a", StateReady)}) }},
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

func toldThenListed(d *Directory) {
	d.Update([]Worker{worker("a", StateDraining)}, nil)
	d.Replace([]Worker{worker("a", StateDraining)})
}

func TestGoneWorkersAreRemembered(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		directory := NewDirectory()
		directory.Replace([]Worker{worker("a", StateReady), worker("b", StateReady)})
		directory.Replace([]Worker{worker("b", StateReady)})
		directory.Update(nil, []ID{"b", "never known"})
		time.Sleep(time.Second)
		assert.Equal(t, directory.GoneFor("a"), time.Second)
		assert.Equal(t, directory.GoneFor("b"), time.Second)
		assert.Equal(t, directory.GoneFor("never known"), time.Duration(0))
		assert.Equal(t, directory.Count(), 0)
		directory.Update([]Worker{worker("a", StateReady)}, nil)
		assert.Equal(t, directory.GoneFor("a"), time.Duration(0))
		list, _ := directory.Of("s")
		assert.Equal(t, len(list), 1)
	})
}

func TestEntriesThatLapsedWithTheServiceAreWaitedFor(t *testing.T) {
	ready, draining := worker("a", StateReady), worker("a", StateDraining)
	for name, c := range map[string]struct {
		learn func(d *Directory)
		// known a moment later, and known at the end.
		soon, late bool
	}{
		"listed without it":        {learn: func(d *Directory) { d.Replace(nil) }, soon: true},
		"told that it is gone":     {learn: func(d *Directory) { d.Update(nil, []ID{"a"}) }, soon: true},
		"gone twice":               {learn: func(d *Directory) { d.Update(nil, []ID{"a"}); d.Replace(nil) }, soon: true},
		"back soon":                {learn: func(d *Directory) { d.Replace(nil); d.Update([]Worker{ready}, nil) }, soon: true, late: true},
		"back in a list":           {learn: func(d *Directory) { d.Replace(nil); d.Replace([]Worker{ready}) }, soon: true, late: true},
		"draining when it went":    {learn: func(d *Directory) { d.Update([]Worker{draining}, nil); d.Replace(nil) }},
		"drains after it was back": {learn: func(d *Directory) { d.Replace(nil); d.Update([]Worker{draining}, nil); d.Replace(nil) }},
		"others were not cut off":  {learn: func(d *Directory) { d.Replace(nil); d.EndSettling() }},
		"nor before it was gone":   {learn: func(d *Directory) { d.EndSettling(); d.Replace(nil) }},
		"after all have settled":   {learn: func(d *Directory) { time.Sleep(2 * SettleTime); d.Replace(nil) }},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				directory := NewDirectory()
				directory.Replace([]Worker{ready})
				directory.Settle(time.Now().Add(SettleTime))
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
