package ctl

import (
	"fmt"

	"github.com/alecthomas/kingpin/v2"

	"monsoonkeel.example/monsoonkeel/core/config"
)

func (t *tool) hostCommands(app *kingpin.Application) {
	group := app.Command("host", "Draining of individual hosts.")
	drain := group.Command("drain", "Drain a host (entry host or backend server): it gets no new requests.")
	drainName := drain.Arg("name", "Host id.").Required().String()
	t.handleChange(drain, func() error {
		return t.put(config.KindDrain, *drainName, 0, config.HostDrain{Name: *drainName})
	})
	undrain := group.Command("undrain", "Send new requests to a drained host again.")
	undrainName := undrain.Arg("name", "Host id.").Required().String()
	t.handleChange(undrain, func() error { return t.remove(config.KindDrain, *undrainName) })
	t.handle(group.Command("list", "List drained hosts."), func() error {
		doc, err := t.document()
		if err != nil {
			return err
		}
		return printItems(t, doc.Drains, []string{"NAME", "REVISION"}, func(h config.HostDrain) []string {
			return []string{h.Name, fmt.Sprint(h.Revision)}
		})
	})
}
