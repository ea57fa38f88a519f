package explain

import (
	"time"

	"github.com/shalefork/shalefork/internal/decision"
)

// latestQuotaLines returns, for each tenant in the lines that was refused because of its quota,
// the leader's last line about the tenant's limit before the refusal.
func latestQuotaLines(lines, requestLines []Line) []Line {
	var found []Line
	for tenant, refusedAt := range lastRefusals(requestLines) {
		var last *Line
		for index, line := range lines {
			if line.Kind != decision.KindTenantOverLimit || asText(line.Fields["tenant"]) != tenant || line.Time.After(refusedAt) {
				continue
			}
			if last == nil || last.Time.Before(line.Time) {
				last = &lines[index]
			}
		}
		if last != nil {
			found = append(found, *last)
		}
	}
	return found
}

// lastRefusals returns the tenants whose requests were refused because of their quota, with the
// time of the last refusal.
func lastRefusals(requestLines []Line) map[string]time.Time {
	found := map[string]time.Time{}
	for _, line := range requestLines {
		tenant := asText(line.Fields["tenant"])
		if tenant != "" && asText(line.Fields["reason"]) == reasonQuota && line.Time.After(found[tenant]) {
			found[tenant] = line.Time
		}
	}
	return found
}

// reasonQuota is the reason of requests refused because of their tenant's limit.
const reasonQuota = "over-quota"
