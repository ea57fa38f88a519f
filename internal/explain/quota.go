package explain

import (
	"time"

	"github.com/shalefork/shalefork/internal/decision"
)

// quotaCauses returns the leader's last word before a request on the limits of the tenants that
// the lines of the request name.
func quotaCauses(lines, named []Line) []Line {
	var found []Line
	for tenant, at := range overQuota(named) {
		var last *Line
		for index, line := range lines {
			if line.Kind != decision.KindTenantOverLimit || asText(line.Fields["tenant"]) != tenant || line.Time.After(at) {
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

// overQuota returns which tenants' requests were refused by quota, and when last.
func overQuota(named []Line) map[string]time.Time {
	found := map[string]time.Time{}
	for _, line := range named {
		tenant := asText(line.Fields["tenant"])
		if tenant != "" && asText(line.Fields["reason"]) == reasonQuota && line.Time.After(found[tenant]) {
			found[tenant] = line.Time
		}
	}
	return found
}

// reasonQuota is that of requests beyond their tenant's limit.
const reasonQuota = "over-quota"
