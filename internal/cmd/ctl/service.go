package ctl

import (
	"fmt"
	"strings"

	"github.com/alecthomas/kingpin/v2"

	"monsoonkeel.example/monsoonkeel/core/config"
)

func (t *tool) serviceCommands(app *kingpin.Application) {
	group := app.Command("service", "Services and their concurrency limits.")
	create := group.Command("create", "Create a service.")
	createName := create.Arg("name", "Service name.").Required().String()
	createFlags := newServiceFlags(create)
	t.handleChange(create, func() error {
		service := config.Service{Name: *createName}
		return t.putService(service, createFlags)
	})
	update := group.Command("update", "Change the given fields of a service.")
	updateName := update.Arg("name", "Service name.").Required().String()
	updateFlags := newServiceFlags(update)
	t.handleChange(update, func() error {
		doc, err := t.document()
		if err != nil {
			return err
		}
		service, err := lookup(doc.Services, config.KindService, *updateName)
		if err != nil {
			return err
		}
		return t.putService(service, updateFlags)
	})
	t.handle(group.Command("list", "List services."), func() error {
		doc, err := t.document()
		if err != nil {
			return err
		}
		return printItems(t, doc.Services, []string{"NAME", "KIND", "MODELS", "RULES", "COLD LIMIT", "WARM LIMIT", "REVISION"}, func(s config.Service) []string {
			return []string{s.Name, string(s.Kind), strings.Join(s.Models, ","), formatRules(s.Rules),
				fmt.Sprint(s.ColdLimit), fmt.Sprint(s.WarmLimit), fmt.Sprint(s.Revision)}
		})
	})
	t.deleteCommand(group, config.KindService)
}

// serviceFlags are the flags of a service. The rules are parsed when the flags
// are applied.
type serviceFlags struct {
	fieldFlags[config.Service]
	rules []string
}

func (t *tool) putService(service config.Service, flags *serviceFlags) error {
	flags.apply(&service)
	if len(flags.rules) > 0 {
		service.Rules = nil
		for _, text := range flags.rules {
			rule, err := parseRule(text)
			if err != nil {
				return err
			}
			service.Rules = append(service.Rules, rule)
		}
	}
	return t.put(config.KindService, service.Name, service.Revision, service)
}

func newServiceFlags(c *kingpin.CmdClause) *serviceFlags {
	s := &serviceFlags{}
	var v config.Service
	s.add(c.Flag("kind", "Kind of backend server: engine or plain."), func(s *config.Service) { s.Kind = v.Kind }).StringVar((*string)(&v.Kind))
	s.add(c.Flag("model", "Model name; repeatable, replaces the list of models."), func(s *config.Service) { s.Models = v.Models }).StringsVar(&v.Models)
	s.add(c.Flag("cold-limit", "Concurrency limit of a cold backend server, summed over all hosts."),
		func(s *config.Service) { s.ColdLimit = v.ColdLimit }).IntVar(&v.ColdLimit)
	s.add(c.Flag("warm-limit", "Concurrency limit of a warm backend server, summed over all hosts."),
		func(s *config.Service) { s.WarmLimit = v.WarmLimit }).IntVar(&v.WarmLimit)
	noRules := false
	s.add(c.Flag("no-rules", "Remove all rules."), func(s *config.Service) { s.Rules = nil }).BoolVar(&noRules)
	c.Flag("rule", "Rule [METHOD][:][/PATH-PREFIX]=CLASS; repeatable, evaluated in order, replaces the list of rules.").StringsVar(&s.rules)
	return s
}

// parseRule parses "METHOD:/path=class"; the method and the path are optional.
func parseRule(text string) (config.Rule, error) {
	i := strings.LastIndex(text, "=")
	if i < 0 || i == len(text)-1 {
		return config.Rule{}, usageError("invalid rule %q: expected [METHOD][:][/PATH-PREFIX]=CLASS", text)
	}
	match, class := text[:i], text[i+1:]
	slash := strings.Index(match, "/")
	if slash < 0 {
		slash = len(match)
	}
	return config.Rule{Method: strings.TrimSuffix(match[:slash], ":"), PathPrefix: match[slash:], Class: class}, nil
}

func formatRules(rules []config.Rule) string {
	parts := make([]string, 0, len(rules))
	for _, r := range rules {
		separator := ""
		if r.Method != "" && r.PathPrefix != "" {
			separator = ":"
		}
		parts = append(parts, r.Method+separator+r.PathPrefix+"="+r.Class)
	}
	return strings.Join(parts, " ")
}
