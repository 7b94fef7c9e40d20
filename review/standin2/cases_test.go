package standin2

import (
	"fmt"
	"syscall"
	"time"
)

// playCold: a runner leaves while another one of its region is cold. Its runs go on from their backups, all at once.
func playCold(w *world) (bool, error) {
	const (
		longPerSecond, shortPerSecond = 22, 120
		longTokens                    = 80 // 20 events, 10 s
		// coldTime is cold_start_s.
		coldTime = 3 * time.Second
	)
	w.configure(engineService(coldTime))
	zones := []string{"lakes-a", "lakes-b", "lakes-c", "lakes-d", "hills-a", "hills-a", "hills-a", "hills-a"}
	for _, zone := range zones {
		if _, err := w.addEngine("models", zone, 500*time.Millisecond); err != nil {
			return false, err
		}
	}
	if err := w.startHosts("lakes-a", "lakes-b", "lakes-c"); err != nil {
		return false, err
	}
	time.Sleep(3 * time.Second)
	stop := make(chan struct{})
	waitLong := w.load(longPerSecond, func() request { return request{path: "/long/x", prompt: 20, output: longTokens} }, stop)
	waitShort := w.load(shortPerSecond, short, stop)
	time.Sleep(13 * time.Second)

	leaving := w.engines[0]
	cold := w.engineWithMostCopiesOf(leaving)
	cold.mu.Lock()
	cold.recent = nil // those before count for a warm engine
	cold.coldUntil, cold.crashesAbove = time.Now().Add(coldTime), 2*coldPerSecond
	begin, end := time.Now(), cold.coldUntil
	cold.mu.Unlock()
	cold.register("ready")
	w.note("engine %s is cold for %s; the bound is %d requests in a second", cold.id, coldTime, coldBound)
	time.Sleep(1200 * time.Millisecond)
	if w.trouble {
		leaving.mu.Lock()
		w.note("engine %s reports that it leaves, with %d runs", leaving.id, len(leaving.gens))
		runs := len(leaving.gens)
		leaving.mu.Unlock()
		if runs > slots {
			return false, fmt.Errorf("engine %s has more runs than slots", leaving.id)
		}
		leaving.register("draining")
	}
	time.Sleep(time.Until(end) + 2*time.Second)
	close(stop)
	waitShort()
	waitLong()
	most := w.mostInASecond(cold.id, begin, end)
	lost := w.cutStreams()
	w.note("most requests in a second at the cold engine: %d, resumed ones among them: %d; streams that were cut: %d", most.all, most.resumed, lost)
	fmt.Printf("%d requests in a second at the cold engine (%d of them resumed), bound %d; %d streams were cut, %d engines crashed\n",
		most.all, most.resumed, coldBound, lost, len(w.crashes))
	return most.all > coldBound, nil
}

// engineWithMostCopiesOf returns the engine that keeps most backups of the runs of another one.
func (w *world) engineWithMostCopiesOf(e *engine) (best *engine) {
	e.mu.Lock()
	count := map[*engine]int{}
	for _, g := range e.gens {
		if g.standby != nil {
			count[g.standby]++
		}
	}
	e.mu.Unlock()
	for _, other := range w.engines {
		w.note("engine %s keeps %d backups of the runs of %s", other.id, count[other], e.id)
		if other != e && (best == nil || count[other] > count[best]) {
			best = other
		}
	}
	return best
}

type busiest struct{ all, resumed int }

// mostInASecond returns the most requests that reached an engine in any second of a time.
func (w *world) mostInASecond(engine string, begin, end time.Time) (most busiest) {
	w.mu.Lock()
	defer w.mu.Unlock()
	var window []*arrival
	for _, a := range w.arrivals { // in order of arrival but for some microseconds
		if a.engine != engine || a.at.Before(begin) || a.at.After(end) {
			continue
		}
		window = append(window, a)
		for a.at.Sub(window[0].at) >= time.Second {
			window = window[1:]
		}
		if len(window) > most.all {
			most = busiest{all: len(window)}
			for _, b := range window {
				if b.resumed {
					most.resumed++
				}
			}
		}
	}
	return most
}

// cutStreams returns the number of answers that ended before their last event.
func (w *world) cutStreams() (n int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, a := range w.answers {
		if a.status == 200 && !a.complete {
			n++
		}
	}
	return n
}

const (
	// overlapTime is how long the runner before may work on a request that went on at another one.
	overlapTime = 400 * time.Millisecond
	// lostTime is for how long answers are lost, and mostLost the largest share of those of a runner.
	lostTime = 4 * time.Second
	mostLost = 0.05
)

// playResume: a runner leaves, and the one that is to go on with its run loses its answer.
func playResume(w *world) (bool, error) {
	w.configure(engineService(time.Second))
	for i := range 8 {
		if _, err := w.addEngine("models", []string{"lakes-a", "lakes-b", "lakes-c"}[i%3], 50*time.Millisecond); err != nil {
			return false, err
		}
	}
	if err := w.startHosts("lakes-a", "lakes-b", "lakes-c"); err != nil {
		return false, err
	}
	time.Sleep(3 * time.Second)
	stop := make(chan struct{})
	waitShort := w.load(80, short, stop)
	time.Sleep(3 * time.Second)
	result := make(chan *answer, 1)
	go func() { result <- w.newCaller(w.hosts[0]).stream(request{path: "/long/x", prompt: 2000, output: 960}) }()
	time.Sleep(2 * time.Second)
	source, id := w.longRun()
	if source == nil {
		return false, fmt.Errorf("the long run did not begin")
	}
	source.mu.Lock()
	backup := source.gens[id].standby
	source.mu.Unlock()
	if backup == nil {
		return false, fmt.Errorf("the run has no backup")
	}
	begin := time.Now()
	if w.trouble {
		backup.mu.Lock()
		backup.loseResume = true
		backup.mu.Unlock()
	}
	time.AfterFunc(lostTime, func() {
		backup.mu.Lock()
		backup.loseResume = false
		backup.mu.Unlock()
		close(stop)
	})
	w.note("engine %s, which runs %s, reports that it leaves", source.id, id)
	source.register("draining")
	a := <-result
	waitShort()
	time.Sleep(time.Second)
	w.note("the caller of %s got %d events, complete %t", id, a.events, a.complete)
	broken := false
	for _, r := range w.overlaps(id) {
		broken = true
		fmt.Println(r)
		w.note("%s", r)
	}
	share := w.lostShare(backup, begin)
	w.note("share of the answers of %s that was lost, if one was: %.3f", backup.id, share)
	if w.trouble && share > mostLost {
		return false, fmt.Errorf("%.3f of the answers of an engine were lost, at most %.2f may be", share, mostLost)
	}
	return broken, nil
}

// longRun returns the engine that runs a long request, and its id.
func (w *world) longRun() (*engine, string) {
	for _, e := range w.engines {
		e.mu.Lock()
		for id, g := range e.gens {
			if g.events > shortEvents {
				e.mu.Unlock()
				return e, id
			}
		}
		e.mu.Unlock()
	}
	return nil, ""
}

// overlaps returns the runs of a request on which an engine worked for over overlapTime after the next one had begun.
func (w *world) overlaps(id string) []string { return w.overlapsSince(id, w.start) }

// overlapsSince is overlaps without the time before start.
func (w *world) overlapsSince(id string, start time.Time) (list []string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	var before *runRecord
	for _, r := range w.runs { // by begin
		if r.request != id {
			continue
		}
		if before != nil && before.engine != r.engine {
			end := before.end
			if end.IsZero() {
				end = time.Now()
			}
			from := r.begin
			if from.Before(start) {
				from = start
			}
			if over := end.Sub(from); over > overlapTime {
				list = append(list, fmt.Sprintf("%s went on at %s while %s, where it had run before, worked on it for %d ms more, while the host could reach it", id, r.engine, before.engine, over.Milliseconds()))
			}
		}
		before = r
	}
	return list
}

// lostShare returns which part of the answers that an engine gave from begin on, for as long as answers are lost, was lost.
func (w *world) lostShare(e *engine, begin time.Time) float64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	ran := 0
	for _, a := range w.arrivals {
		if a.engine == e.id && a.ran && a.at.After(begin) && a.at.Before(begin.Add(lostTime)) {
			ran++
		}
	}
	return 1 / float64(max(1, ran))
}

// playCut: a runner is cut off for cutTime, and another one goes on with its run from the backup. The former one does not notice
// that its connection was closed, as some runners do not, and works on.
func playCut(w *world) (bool, error) {
	const cutTime = 5500 * time.Millisecond
	w.configure(engineService(time.Second))
	for i := range 8 {
		e, err := w.addEngine("models", []string{"lakes-a", "lakes-b", "lakes-c"}[i%3], 100*time.Millisecond)
		if err == nil {
			err = e.addLink()
		}
		if err != nil {
			return false, err
		}
	}
	if err := w.startHosts("lakes-a", "lakes-b", "lakes-c"); err != nil {
		return false, err
	}
	time.Sleep(3 * time.Second)
	result := make(chan *answer, 1)
	go func() {
		result <- w.newCaller(w.hosts[0]).stream(request{path: "/long/x", prompt: 2000, output: 300 * stride})
	}()
	time.Sleep(2 * time.Second)
	source, id := w.longRun()
	if source == nil {
		return false, fmt.Errorf("the long run did not begin")
	}
	source.mu.Lock()
	source.ignoresClose = true
	source.mu.Unlock()
	if w.trouble {
		w.note("engine %s, which runs %s, is cut off for %s", source.id, id, cutTime)
		source.link.cut()
	}
	time.Sleep(cutTime)
	if w.trouble {
		w.note("engine %s can be reached again", source.id)
		source.link.heal()
	}
	healed := time.Now()
	a := <-result
	time.Sleep(time.Second)
	w.note("the caller of %s got %d events, complete %t", id, a.events, a.complete)
	broken := false
	for _, r := range w.overlapsSince(id, healed.Add(contactTime)) {
		broken = true
		fmt.Println(r)
		w.note("%s", r)
	}
	return broken, nil
}

// playLast: a runner that leaves exits with the end of its last answer, which has no length, after the host got SIGHUP.
func playLast(w *world) (bool, error) {
	w.configure(map[string]any{"name": "desk", "health_path": "/healthz", "max_conns": 110})
	for i := range 8 {
		e, err := w.addEngine("desk", []string{"lakes-a", "lakes-b", "lakes-c", "lakes-d"}[i%4], 100*time.Millisecond)
		if err != nil {
			return false, err
		}
		e.unframed = true
	}
	if err := w.startHosts("lakes-a", "lakes-b", "lakes-c", "lakes-d"); err != nil {
		return false, err
	}
	time.Sleep(contactTime)
	c := w.newCaller(w.hosts[0])
	if a := c.stream(short()); a.status != 200 || !a.complete {
		return false, fmt.Errorf("first request: status %d, complete %t, %s", a.status, a.complete, a.cause)
	}
	w.note("%s gets SIGHUP", w.hosts[0].name)
	if err := w.hosts[0].cmd.Process.Signal(syscall.SIGHUP); err != nil {
		return false, err
	}
	hup := time.Now()
	time.Sleep(500 * time.Millisecond)
	result := make(chan *answer, 1)
	go func() { result <- c.stream(request{path: "/long/x", prompt: 100, output: 70 * stride}) }()
	time.Sleep(time.Second)
	server, id := w.longRun()
	if server == nil {
		return false, fmt.Errorf("the long run did not begin")
	}
	w.note("server %s, which runs %s, reports that it leaves", server.id, id)
	server.endAtLast = w.trouble
	server.register("draining")
	a := <-result
	outcome := w.outcomeOf(id)
	w.note("the server's run of %s ended: %s; the caller got status %d, %d events, complete %t %s", id, outcome, a.status, a.events, a.complete, a.cause)
	fmt.Printf("the server's answer: %s; the caller's: status %d, %d events, complete %t %s\n", outcome, a.status, a.events, a.complete, a.cause)
	if outcome != "complete" || a.sent.Sub(hup) > configTime {
		return false, fmt.Errorf("the server's run ended as %s", outcome)
	}
	return !a.complete, nil
}

func (w *world) outcomeOf(id string) string {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, r := range w.runs {
		if r.request == id {
			return r.outcome
		}
	}
	return "none"
}

// playPoison: callers send requests with a part that crashes runners, some at the same moment.
func playPoison(w *world) (bool, error) {
	const (
		part     = "dead0001"
		together = 6
		rounds   = 4
		pause    = 5 * time.Second
	)
	w.configure(engineService(time.Second))
	for i := range 12 {
		e, err := w.addEngine("models", []string{"lakes-a", "lakes-b", "lakes-c"}[i%3], 100*time.Millisecond)
		if err != nil {
			return false, err
		}
		if w.trouble {
			e.poison = part
		}
	}
	if err := w.startHosts("lakes-a", "lakes-b", "lakes-c"); err != nil {
		return false, err
	}
	time.Sleep(3 * time.Second)
	stop := make(chan struct{})
	waitLong := w.load(10, func() request { return request{path: "/long/x", parts: "a1:10,b7:20", prompt: 200, output: 80} }, stop)
	time.Sleep(5 * time.Second)
	for round := range rounds {
		w.note("%d requests with part %s are sent (round %d)", together, part, round+1)
		for i := range together {
			c := w.newCaller(w.hosts[i%len(w.hosts)])
			go c.stream(request{path: "/long/x", parts: "a1:10," + part + ":30", prompt: 200, output: 80, poisoned: true})
		}
		time.Sleep(pause)
	}
	close(stop)
	waitLong()
	w.mu.Lock()
	crashes := w.crashes
	late := 0
	if len(crashes) >= 5 {
		for _, a := range w.arrivals {
			if a.poisoned && a.at.After(crashes[4].Add(contactTime)) {
				late++
			}
		}
	}
	w.mu.Unlock()
	lost := w.cutSound()
	w.note("%d crashes; requests with the part that reached runners later than 4 s after the fifth crash: %d; sound requests without a complete answer: %d", len(crashes), late, lost)
	fmt.Printf("%d crashes; %d requests with the part reached runners later than 4 s after the fifth crash; %d sound requests got no complete answer\n", len(crashes), late, lost)
	return late > 3, nil
}

// cutSound returns the number of requests without the part that crashes runners that got no complete answer.
func (w *world) cutSound() (n int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, a := range w.answers {
		if !a.poisoned && (a.status != 200 || !a.complete) {
			n++
		}
	}
	return n
}
