package ctl

import (
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"slices"

	"github.com/alecthomas/kingpin/v2"

	"monsoonkeel.example/monsoonkeel/core/config"
)

func (t *tool) teamCommands(app *kingpin.Application) {
	group := app.Command("team", "Teams and their API keys.")
	create := group.Command("create", "Create a team with a random key, which is printed only once.")
	createName := create.Arg("name", "Team name.").Required().String()
	createFlags := newTeamFlags(create)
	t.handleChange(create, func() error {
		team := config.Team{Name: *createName}
		createFlags.apply(&team)
		return t.putTeam(team, true)
	})
	t.teamUpdate(group)
	t.handle(group.Command("list", "List teams."), func() error {
		doc, err := t.document()
		if err != nil {
			return err
		}
		return printItems(t, doc.Teams, []string{"NAME", "KEYS", "DEFAULT CLASS", "MAX IN FLIGHT", "REVISION"}, func(v config.Team) []string {
			return []string{v.Name, fmt.Sprint(len(v.KeyHashes)), v.DefaultClass, fmt.Sprint(v.MaxInFlight), fmt.Sprint(v.Revision)}
		})
	})
	t.deleteCommand(group, config.KindTeam)
}

func (t *tool) teamUpdate(group *kingpin.CmdClause) {
	update := group.Command("update", "Change the given fields of a team.")
	name := update.Arg("name", "Team name.").Required().String()
	flags := newTeamFlags(update)
	addKey := update.Flag("add-key", "Add a random key, which is printed only once.").Bool()
	removeKey := update.Flag("remove-key-hash", "Remove the key with this hash; repeatable.").Strings()
	t.handleChange(update, func() error {
		doc, err := t.document()
		if err != nil {
			return err
		}
		team, err := lookup(doc.Teams, config.KindTeam, *name)
		if err != nil {
			return err
		}
		for _, hash := range *removeKey {
			if !slices.Contains(team.KeyHashes, hash) {
				return rejectedError("team %q has no key with the hash %s", *name, hash)
			}
		}
		team.KeyHashes = slices.DeleteFunc(slices.Clone(team.KeyHashes), func(h string) bool { return slices.Contains(*removeKey, h) })
		flags.apply(&team)
		return t.putTeam(team, *addKey)
	})
}

// putTeam submits the team, with an additional random key if newKey is set. Only
// the hash of the key is sent to the daemon.
func (t *tool) putTeam(team config.Team, newKey bool) error {
	key := ""
	if newKey {
		secret := make([]byte, 32)
		if _, err := rand.Read(secret); err != nil {
			return fmt.Errorf("generate key: %w", err)
		}
		key = "mk_" + hex.EncodeToString(secret)
		hash := sha256.Sum256([]byte(key))
		team.KeyHashes = append(team.KeyHashes, hex.EncodeToString(hash[:]))
	}
	op, err := putOp(config.KindTeam, team.Name, team.Revision, team)
	if err != nil {
		return err
	}
	return t.submit(key, op)
}

func newTeamFlags(c *kingpin.CmdClause) *fieldFlags[config.Team] {
	s := &fieldFlags[config.Team]{}
	var v config.Team
	s.add(c.Flag("default-class", "Class of requests for which neither the request nor the rules of the service name one."),
		func(t *config.Team) { t.DefaultClass = v.DefaultClass }).StringVar(&v.DefaultClass)
	s.add(c.Flag("max-in-flight", "Limit of the team's in-flight requests, summed over all hosts; 0 for none."),
		func(t *config.Team) { t.MaxInFlight = v.MaxInFlight }).IntVar(&v.MaxInFlight)
	return s
}
