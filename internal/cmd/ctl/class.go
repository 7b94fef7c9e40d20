package ctl

import (
	"fmt"

	"github.com/alecthomas/kingpin/v2"

	"monsoonkeel.example/monsoonkeel/core/config"
)

func (t *tool) classCommands(app *kingpin.Application) {
	group := app.Command("class", "Request classes and their latency targets.")
	create := group.Command("create", "Create a class.")
	createName := create.Arg("name", "Class name.").Required().String()
	createFlags := newClassFlags(create)
	t.handleChange(create, func() error {
		class := config.Class{Name: *createName}
		createFlags.apply(&class)
		return t.put(config.KindClass, *createName, 0, class)
	})
	update := group.Command("update", "Change the given fields of a class.")
	updateName := update.Arg("name", "Class name.").Required().String()
	updateFlags := newClassFlags(update)
	t.handleChange(update, func() error {
		doc, err := t.document()
		if err != nil {
			return err
		}
		class, err := lookup(doc.Classes, config.KindClass, *updateName)
		if err != nil {
			return err
		}
		updateFlags.apply(&class)
		return t.put(config.KindClass, *updateName, class.Revision, class)
	})
	t.handle(group.Command("list", "List classes."), func() error {
		doc, err := t.document()
		if err != nil {
			return err
		}
		return printItems(t, doc.Classes, []string{"NAME", "FIRST TOKEN MS", "TOKEN GAP MS", "PRIORITY", "DELIVERY", "ORDER", "IDEMPOTENT", "RESUME GRACE MS", "REVISION"}, classRow)
	})
	t.deleteCommand(group, config.KindClass)
}

func classRow(c config.Class) []string {
	delivery := c.Delivery
	if delivery == "" {
		delivery = config.DeliveryStream
	}
	return []string{c.Name, fmt.Sprint(c.FirstTokenMS), fmt.Sprint(c.TokenGapMS), fmt.Sprint(c.Priority), string(delivery),
		fmt.Sprint(c.Order), fmt.Sprint(c.Idempotent), fmt.Sprint(c.ResumeGraceMS), fmt.Sprint(c.Revision)}
}

func (t *tool) deleteCommand(group *kingpin.CmdClause, kind config.Kind) {
	command := group.Command("delete", "Delete a "+string(kind)+".")
	name := command.Arg("name", "Name.").Required().String()
	t.handleChange(command, func() error { return t.remove(kind, *name) })
}

// fieldFlag sets one field of an item if the flag was given on the command line.
type fieldFlag[T any] struct {
	given bool
	set   func(*T)
}

// fieldFlags are the flags of a create or update command.
type fieldFlags[T any] struct{ fields []*fieldFlag[T] }

func (s *fieldFlags[T]) add(flag *kingpin.FlagClause, set func(*T)) *kingpin.FlagClause {
	f := &fieldFlag[T]{set: set}
	s.fields = append(s.fields, f)
	return flag.IsSetByUser(&f.given)
}

func (s *fieldFlags[T]) apply(item *T) {
	for _, f := range s.fields {
		if f.given {
			f.set(item)
		}
	}
}

func newClassFlags(c *kingpin.CmdClause) *fieldFlags[config.Class] {
	s := &fieldFlags[config.Class]{}
	var v config.Class
	s.add(c.Flag("first-token-ms", "Target for the time to first token, in milliseconds."),
		func(c *config.Class) { c.FirstTokenMS = v.FirstTokenMS }).IntVar(&v.FirstTokenMS)
	s.add(c.Flag("token-gap-ms", "Target for the inter-token latency, in milliseconds; 0 for none."),
		func(c *config.Class) { c.TokenGapMS = v.TokenGapMS }).IntVar(&v.TokenGapMS)
	s.add(c.Flag("priority", "Priority, 0 to 9; higher values are served first."),
		func(c *config.Class) { c.Priority = v.Priority }).IntVar(&v.Priority)
	s.add(c.Flag("delivery", "How the response is delivered: stream or whole."),
		func(c *config.Class) { c.Delivery = v.Delivery }).StringVar((*string)(&v.Delivery))
	s.add(c.Flag("order", "Requests are not idempotent and run at most once."),
		func(c *config.Class) { c.Order = v.Order }).BoolVar(&v.Order)
	s.add(c.Flag("idempotent", "Requests to plain services are idempotent and may be retried."),
		func(c *config.Class) { c.Idempotent = v.Idempotent }).BoolVar(&v.Idempotent)
	s.add(c.Flag("resume-grace-ms", "How long a generation is kept after its caller disconnected, in milliseconds."),
		func(c *config.Class) { c.ResumeGraceMS = v.ResumeGraceMS }).IntVar(&v.ResumeGraceMS)
	return s
}
