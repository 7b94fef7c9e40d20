package soakcmd

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"

	"monsoonkeel.example/monsoonkeel/platform/soak"
)

// mutation takes one guard out of the program, or makes the stand-ins cheat. The check of rule has to find that.
type mutation struct {
	name, rule string
	// file is the source file of the guard; old is replaced by new in it. Empty for cheats.
	file, old, new string
	only           []soak.Kind
	cheats         soak.Cheats
}

var mutations = []mutation{
	{"stand-ins answer with another body", "MIXED", "", "", "", []soak.Kind{soak.GossipLossy}, soak.Cheats{WrongBody: true}},
	{
		"each failure counts as not run", "TWICE", "core/verdict/verdict.go",
		"func Of(err error) Verdict { return From(err).Verdict }", "func Of(error) Verdict { return NotRun }",
		[]soak.Kind{soak.ServerReset, soak.ServerCrashed}, soak.Cheats{},
	},
	{
		"refusals after a run", "REFUSED", "internal/forward/plain.go",
		"\tif ran > 0 || verdict.Of(err) != verdict.NotRun {", "\tif ran < 0 {",
		[]soak.Kind{soak.ServerReset, soak.ServerCrashed}, soak.Cheats{},
	},
	{
		"broken streams end regularly", "ORDER", "internal/forward/stream.go",
		"\ts.r.call.Abort()\n\treturn verdict.Wrap(cause, verdict.Ran, 502, \"stream_broken\"", "\t_ = s.r.call.End()\n\treturn verdict.Wrap(cause, verdict.Ran, 502, \"stream_broken\"",
		[]soak.Kind{soak.ServerReset, soak.ServerCrashed}, soak.Cheats{},
	},
	{
		"sources are not asked to stop", "TWICE, two engines at once", "internal/forward/stopsource.go",
		"\tctx, cancel := context.WithTimeout(context.WithoutCancel(gen.r.ctx), relay.SilenceLimit)\n\tattempts", "\tif server.ID != \"\" {\n\t\treturn\n\t}\n\tctx, cancel := context.WithTimeout(context.WithoutCancel(gen.r.ctx), relay.SilenceLimit)\n\tattempts",
		[]soak.Kind{soak.ServerLeaves}, soak.Cheats{IgnoreClose: true},
	},
	{
		"termination notices are ignored", "DRAIN", "internal/directory/store.go",
		"func (s *Server) Terminating() bool { return s.Leaving || s.Removed }", "func (s *Server) Terminating() bool { return s.Removed }",
		[]soak.Kind{soak.ServerLeaves}, soak.Cheats{},
	},
	{
		"removed servers stay in use", "DRAIN", "internal/directory/store.go",
		"func (s *Server) Terminating() bool { return s.Leaving || s.Removed }", "func (s *Server) Terminating() bool { return s.Leaving }",
		[]soak.Kind{soak.ServerRemoved}, soak.Cheats{},
	},
	{
		"domains out of service stay in use", "EVAC", "internal/directory/apply.go",
		"if d.state.DomainsOut[c.Name] == !c.Deleted {", "if !c.Deleted || !d.state.DomainsOut[c.Name] {",
		[]soak.Kind{soak.DomainOut}, soak.Cheats{},
	},
	{
		"the first configuration stays in force", "CONFIG, removed keys", "internal/directory/apply.go",
		"if c.Table == nil || current != nil && c.Table.Version < current.Version {", "if c.Table == nil || current != nil {",
		[]soak.Kind{soak.KeyRemoved}, soak.Cheats{},
	},
	{
		"a stop does not wait for requests", "LOST", "internal/entry/entry.go",
		"\tcase <-ctx.Done():\n\t\tp.shutDown()", "\tcase <-ctx.Done():",
		[]soak.Kind{soak.HostStopped}, soak.Cheats{},
	},
	{
		"a reload ends the process", "processes that end by themselves", "internal/entry/entry.go",
		"\t\tcase <-reload:\n", "\t\tcase <-reload:\n\t\t\tos.Exit(3)\n",
		[]soak.Kind{soak.HostReloaded}, soak.Cheats{},
	},
	{
		"failed store calls are not repeated", "RECOVER", "internal/directory/directory.go",
		"\twait.For(ctx, delay/2+rand.N(delay/2+1))", "\t_ = delay\n\t<-ctx.Done()",
		[]soak.Kind{soak.StoreDown}, soak.Cheats{},
	},
	{
		"the query is changed", "UNASKED", "internal/forward/request.go",
		"\treq.SetBodyRaw(r.call.Request.Body())\n\treq.Header.SetNoDefaultContentType(true)", "\treq.SetBodyRaw(r.call.Request.Body())\n\treq.SetRequestURI(string(req.RequestURI()) + \"&more\")\n\treq.Header.SetNoDefaultContentType(true)",
		[]soak.Kind{soak.GossipLossy}, soak.Cheats{},
	},
}

// checkMutations plays a run with each mutation and prints which check found it. It must run in the repository. It returns the
// number of mutations that were not found.
// rule limits them to those that the check of a rule has to find; "" means all.
func checkMutations(ctx context.Context, o soak.Options, rule string) (missed int, err error) {
	for _, m := range mutations {
		if rule != "" && m.rule != rule {
			continue
		}
		one := o
		one.Dir = filepath.Join(o.Dir, strings.ReplaceAll(m.name, " ", "-"))
		one.Only, one.Cheats = m.only, m.cheats
		if err := os.MkdirAll(one.Dir, 0o700); err != nil {
			return missed, err
		}
		if m.file != "" {
			if one.Program, err = buildMutated(ctx, m, one.Dir); err != nil {
				return missed, fmt.Errorf("%s: %w", m.name, err)
			}
		}
		result, err := soak.Run(ctx, one)
		if err != nil {
			return missed, fmt.Errorf("%s: %w", m.name, err)
		}
		found := slices.ContainsFunc(result.Findings, func(f soak.Finding) bool { return f.Rule == m.rule })
		if !found {
			missed++
		}
		rules := map[string]int{}
		for _, f := range result.Findings {
			rules[f.Rule]++
		}
		fmt.Printf("%s: %s found %t, findings %v, %d disruptions, %d requests\n", m.name, m.rule, found, rules, len(result.Schedule), result.Requests)
	}
	return missed, nil
}

// buildMutated builds monsoonkeel-entry with a mutation and returns the path.
func buildMutated(ctx context.Context, m mutation, dir string) (string, error) {
	source, err := os.ReadFile(m.file)
	if err != nil {
		return "", err
	}
	if strings.Count(string(source), m.old) != 1 {
		return "", fmt.Errorf("%s has the guard %d times", m.file, strings.Count(string(source), m.old))
	}
	changed, err := filepath.Abs(filepath.Join(dir, filepath.Base(m.file)))
	if err != nil {
		return "", err
	}
	original, err := filepath.Abs(m.file)
	if err != nil {
		return "", err
	}
	if err := os.WriteFile(changed, []byte(strings.Replace(string(source), m.old, m.new, 1)), 0o600); err != nil {
		return "", err
	}
	overlay, err := json.Marshal(map[string]any{"Replace": map[string]string{original: changed}})
	if err != nil {
		return "", err
	}
	overlayFile, program := filepath.Join(dir, "overlay.json"), filepath.Join(dir, "monsoonkeel-entry")
	if err := os.WriteFile(overlayFile, overlay, 0o600); err != nil {
		return "", err
	}
	build := exec.CommandContext(ctx, "go", "build", "-overlay", overlayFile, "-o", program, "./cmd/monsoonkeel-entry")
	if out, err := build.CombinedOutput(); err != nil {
		return "", fmt.Errorf("%w: %s", err, out)
	}
	return program, nil
}
