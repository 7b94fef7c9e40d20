package ctl

import (
	"fmt"

	"github.com/alecthomas/kingpin/v2"

	"monsoonkeel.example/monsoonkeel/core/config"
)

func (t *tool) domainCommands(app *kingpin.Application) {
	group := app.Command("domain", "Failure domains.")
	add := group.Command("add", "Add a failure domain, in service.")
	name := add.Arg("name", "Failure domain.").Required().String()
	region := add.Flag("region", "Region.").Required().String()
	t.handleChange(add, func() error {
		return t.put(config.KindDomain, *name, 0, config.Domain{Name: *name, Region: *region, State: config.DomainIn})
	})
	t.domainState(group.Command("take-out", "Take a failure domain out of service."), config.DomainOut)
	t.domainState(group.Command("bring-back", "Bring a failure domain back into service."), config.DomainIn)
	t.handle(group.Command("list", "List failure domains."), func() error {
		doc, err := t.document()
		if err != nil {
			return err
		}
		return printItems(t, doc.Domains, []string{"NAME", "REGION", "STATE", "REVISION"}, func(d config.Domain) []string {
			return []string{d.Name, d.Region, string(d.State), fmt.Sprint(d.Revision)}
		})
	})
}

func (t *tool) domainState(command *kingpin.CmdClause, state config.DomainState) {
	name := command.Arg("name", "Failure domain.").Required().String()
	t.handleChange(command, func() error {
		doc, err := t.document()
		if err != nil {
			return err
		}
		domain, err := lookup(doc.Domains, config.KindDomain, *name)
		if err != nil {
			return err
		}
		domain.State = state
		return t.put(config.KindDomain, *name, domain.Revision, domain)
	})
}
