package gwpublish

import (
	"fmt"
	"strings"
	"time"

	gw "github.com/geraniumworks/geraniumworks"
)

// Conflict reports that files were changed by others since the state that a change started from.
type Conflict struct {
	Base  gw.ConfigVersion `json:"base"`
	Files []ConflictFile   `json:"files"`
}

// ConflictFile is a file that someone else changed.
type ConflictFile struct {
	Path    string           `json:"path"`
	By      string           `json:"by"`
	At      time.Time        `json:"at"`
	Version gw.ConfigVersion `json:"version"`
}

// Error names each file, who changed it and when.
func (c *Conflict) Error() string {
	lines := []string{fmt.Sprintf("changed by others since version %d, which this change started from:", c.Base)}
	for _, f := range c.Files {
		lines = append(lines, fmt.Sprintf("%s was changed by %s at %s in version %d",
			f.Path, f.By, f.At.UTC().Format(time.RFC3339), f.Version))
	}
	return strings.Join(lines, "\n")
}

// Refused reports a change that is refused for what it would do.
type Refused struct {
	Reasons []string `json:"reasons"`
	// Forceable is set when the change is accepted with force.
	Forceable bool `json:"forceable"`
}

// Error returns the reasons, one a line.
func (r *Refused) Error() string {
	text := "refused:\n" + strings.Join(r.Reasons, "\n")
	if r.Forceable {
		text += "\nuse --force to do it nevertheless"
	}
	return text
}

// bare returns which services and tenants have no data centre in service. A service divided by key needs one in
// each of its regions, because a key never leaves its region.
func bare(cfg gw.Config) []string {
	up := map[gw.RegionName]bool{}
	for _, r := range cfg.Regions {
		for _, dc := range r.DataCentres {
			if !cfg.IsOut(gw.OutDataCentre, string(dc)) {
				up[r.Name] = true
			}
		}
	}
	var found []string
	for _, s := range cfg.Services {
		left := 0
		for _, r := range s.Regions {
			if up[r] {
				left++
			} else if s.DividedByKey {
				found = append(found, fmt.Sprintf("service %s would have no data centre in service in region %s, "+
					"where keys of it reside", s.Name, r))
			}
		}
		if left == 0 {
			found = append(found, fmt.Sprintf("service %s would have no data centre in service", s.Name))
			continue
		}
		for _, t := range cfg.Tenants {
			if !anyUp(candidates(t.HomeRegions, s.Regions), up) {
				found = append(found, fmt.Sprintf("tenant %s would have no data centre in service for service %s",
					t.Name, s.Name))
			}
		}
	}
	return found
}

func anyUp(regions []gw.RegionName, up map[gw.RegionName]bool) bool {
	for _, r := range regions {
		if up[r] {
			return true
		}
	}
	return false
}
