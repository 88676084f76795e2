package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os/exec"
	"path/filepath"
	"strings"
	"time"
)

// BuildCommit builds limpetlab of a commit of the repository that contains the present folder, in a directory, and
// returns the path of the program.
func BuildCommit(ctx context.Context, directory, commit string) (string, error) {
	top, err := exec.CommandContext(ctx, "git", "rev-parse", "--show-toplevel").Output()
	if err != nil {
		return "", fmt.Errorf("find the repository: %w", err)
	}
	sources := filepath.Join(directory, "old")
	clone := exec.CommandContext(ctx, "git", "clone", "--quiet", "--no-checkout", strings.TrimSpace(string(top)), sources)
	if out, err := clone.CombinedOutput(); err != nil {
		return "", fmt.Errorf("clone the repository: %w: %s", err, out)
	}
	checkout := exec.CommandContext(ctx, "git", "-C", sources, "checkout", "--quiet", commit)
	if out, err := checkout.CombinedOutput(); err != nil {
		return "", fmt.Errorf("check out %s: %w: %s", commit, err, out)
	}
	program := filepath.Join(directory, "limpetlab-old")
	build := exec.CommandContext(ctx, "go", "build", "-o", program, "./limpetlab")
	build.Dir = sources
	if out, err := build.CombinedOutput(); err != nil {
		return "", fmt.Errorf("build limpetlab of %s: %w: %s", commit, err, out)
	}
	return program, nil
}

// upgrade replaces the daemons of the old build by those of the new one, one after the other, and then those of the
// new build by the old one, until ctx ends. Calls go on meanwhile.
func (r *run) upgrade(ctx context.Context, random *rand.Rand) {
	for _, program := range []string{r.config.Program, r.config.OldProgram, r.config.Program} {
		for _, i := range random.Perm(len(r.daemons)) {
			if !sleep(ctx, randomDuration(random, 0, time.Second)) {
				return
			}
			r.count("replaced")
			r.replace(r.daemons[i], program, rand.New(rand.NewPCG(random.Uint64(), 20)))
		}
	}
}

// replace asks a daemon to leave and starts another build in its place.
func (r *run) replace(d *daemon, program string, random *rand.Rand) {
	r.restart(d, random, func() error {
		err := d.leave()
		// restart holds faultMu, which guards the program too.
		d.program = program
		return err
	})
}

// finishUpgrade replaces the daemons that are left of the old build.
func (r *run) finishUpgrade(random *rand.Rand) {
	for _, d := range r.daemons {
		if d.program != r.config.Program {
			r.replace(d, r.config.Program, random)
		}
	}
}
