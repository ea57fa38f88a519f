package owner

// A worker may leave orders unanswered and accept a grant among them with a delay, although requests reach
// it. It then holds the keys whatever the leaders know, so they must not have been granted to another
// worker. Unlike a partitioned one, such a worker is checked: requests may begin there.

// muteWorkerChoices returns whether the first owner may answer orders again, and whether it may be cut off
// from the leaders or reached by them again.
func (m *model) muteWorkerChoices() []string {
	var list []string
	if m.workers[0].mute {
		list = append(list, "unmute 0")
	}
	if m.workers[0].leaderCut || m.bounds.leaderCuts > 0 {
		list = append(list, "leader-cut 0")
	}
	return list
}

// reportResponses has the effect of reports of other processes that a worker responds to requests which
// leaders can't reach.
func (m *model) reportResponses() {
	for _, worker := range m.workers {
		if !worker.leaderCut || worker.partitioned {
			continue
		}
		for _, leader := range m.leaders {
			leader.ledger.ObserveResponse(worker.id)
		}
	}
}
