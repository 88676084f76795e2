package soak

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"os"
	"time"

	"github.com/limpetlb/limpetlb/platform/stand"
)

// cutPoll is the time between two reads of a file of cuts.
const cutPoll = 20 * time.Millisecond

// cuts is the content of a file that says how the paths of a daemon to servers are cut.
type cuts struct {
	Cut stand.Cut `json:"cut"`
	// Addresses are the servers; empty for all.
	Addresses []string `json:"addresses"`
}

// write writes the file as a whole.
func (c cuts) write(file string) error {
	raw, err := json.Marshal(c)
	if err != nil {
		return err
	}
	if err := os.WriteFile(file+".new", raw, 0o600); err != nil {
		return err
	}
	return os.Rename(file+".new", file)
}

// FollowCuts returns a path to servers that is cut as a file says, until ctx ends.
func FollowCuts(ctx context.Context, file string) *stand.Path {
	p := stand.NewPath()
	go func() {
		last := ""
		for ctx.Err() == nil {
			raw, err := os.ReadFile(file)
			var c cuts
			// A file that does not exist yet cuts nothing.
			if err == nil && string(raw) != last && json.Unmarshal(raw, &c) == nil {
				last = string(raw)
				p.Cut(c.Cut, c.Addresses...)
			}
			time.Sleep(cutPoll)
		}
	}()
	return p
}

// pathCuts are the cuts of the soak.
var pathCuts = []stand.Cut{stand.Silent, stand.OneWay, stand.Refused, stand.Resets}

// cutPaths cuts the paths of one to all but one of the daemons to all servers, or to some, for a while, and again
// until ctx ends.
func (r *run) cutPaths(ctx context.Context, random *rand.Rand) {
	for ctx.Err() == nil {
		c := cuts{Cut: pathCuts[random.IntN(len(pathCuts))]}
		if random.IntN(3) == 0 {
			for _, l := range r.servers {
				if random.IntN(2) == 0 {
					c.Addresses = append(c.Addresses, l.Address())
				}
			}
		}
		order, n := random.Perm(len(r.daemons)), 1
		if len(r.daemons) > 2 {
			n += random.IntN(len(r.daemons) - 1)
		}
		r.mu.Lock()
		r.faults["paths"]++
		r.mu.Unlock()
		r.setCuts(c, order[:n])
		select {
		case <-ctx.Done():
		case <-time.After(randomDuration(random, 200*time.Millisecond, 5*time.Second)):
		}
		r.setCuts(cuts{}, order[:n])
		select {
		case <-ctx.Done():
		case <-time.After(randomDuration(random, 0, 2*time.Second)):
		}
	}
}

// setCuts sets the cuts of the daemons with the given indexes.
func (r *run) setCuts(c cuts, daemons []int) {
	for _, i := range daemons {
		if err := c.write(r.daemons[i].paths); err != nil {
			r.recordViolation("cut paths: %v", err)
		}
	}
}
