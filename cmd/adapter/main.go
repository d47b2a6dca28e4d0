// Command adapter runs decision modules for the simulator, whose protocol it speaks on standard input and output.
// It runs one instance for each manager that the simulator starts; the instances share no state.
package main

import (
	"bufio"
	"fmt"
	"io"
	"os"

	"pierlink/internal/simwire"
	"pierlink/internal/start"
	"pierlink/policy"
	"pierlink/session"
)

func main() {
	if err := run(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "adapter:", err)
		os.Exit(1)
	}
}

// run serves batches of events until the end of the input.
func run(in io.Reader, out io.Writer) error {
	reader, writer := simwire.NewReader(in), bufio.NewWriter(out)
	instances, reply := map[uint16]*instance{}, &simwire.Reply{}
	for {
		batch, err := reader.Next()
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
		var active []*instance // the instances with events in this batch
		for i := range batch.Events {
			event := &batch.Events[i]
			inst := instances[event.Manager]
			switch {
			case event.Code == simwire.EvStart:
				settings, err := start.Read(event.Settings)
				if err != nil {
					return err
				}
				if inst != nil {
					inst.module = nil
				}
				inst = newInstance(event.Manager, settings.LoadNames,
					policy.New(settings.Site, event.Seed, batch.Now), settings.Site, reply)
				instances[event.Manager] = inst
			case inst == nil:
				return fmt.Errorf("event with code %d for unknown instance %d", event.Code, event.Manager)
			case event.Code == simwire.EvStop:
				inst.module = nil
				delete(instances, event.Manager)
				continue
			}
			if !inst.inTurn {
				inst.inTurn = true
				active = append(active, inst)
				inst.module.BeginTurn(batch.Now)
			}
			if err := inst.dispatch(event); err != nil {
				return err
			}
		}
		for _, inst := range active {
			inst.inTurn = false
			if inst.module != nil {
				inst.module.Settle(inst)
			}
		}
		if err := reply.WriteTo(writer, batch.Number); err != nil {
			return err
		}
		if err := writer.Flush(); err != nil {
			return err
		}
	}
}

// instance is one decision module with its host side: it maps the simulator's identifiers to the module's numbers and
// back, and it carries out the module's actions.
type instance struct {
	managerID       uint16
	module          session.Manager
	loadNames       []string
	site            *session.Site
	reply           *simwire.Reply
	inTurn          bool // it has events in the current batch
	serverNumbers   map[simwire.Server]int
	serverIDs       []simwire.Server // by number
	titleNumbers    map[uint64]int
	playbackNumbers map[uint32]int
	playbackIDs     []uint32 // by number
	freePlaybacks   []int    // numbers that may be reused
}

func newInstance(managerID uint16, loadNames []string, module session.Manager, site *session.Site,
	reply *simwire.Reply) *instance {
	return &instance{managerID: managerID, module: module, loadNames: loadNames, site: site, reply: reply,
		serverNumbers: map[simwire.Server]int{}, titleNumbers: map[uint64]int{}, playbackNumbers: map[uint32]int{}}
}

// serverNumber returns the number of a server, and assigns one if the server is new.
func (inst *instance) serverNumber(id simwire.Server) int {
	number, ok := inst.serverNumbers[id]
	if !ok {
		number = len(inst.serverIDs)
		inst.serverNumbers[id] = number
		inst.serverIDs = append(inst.serverIDs, id)
	}
	return number
}

// newRequest assigns a number to the event's playback and returns its request.
func (inst *instance) newRequest(event *simwire.Event) (session.Request, error) {
	request := event.Request
	if request.Plan >= len(inst.site.Plans) {
		return request, fmt.Errorf("request of unknown class %d: the settings have fewer classes", request.Plan)
	}
	title, ok := inst.titleNumbers[request.TitleID]
	if !ok {
		title = len(inst.titleNumbers)
		inst.titleNumbers[request.TitleID] = title
	}
	request.Title = title
	request.Playback = len(inst.playbackIDs)
	if n := len(inst.freePlaybacks); n > 0 {
		request.Playback, inst.freePlaybacks = inst.freePlaybacks[n-1], inst.freePlaybacks[:n-1]
		inst.playbackIDs[request.Playback] = event.ID
	} else {
		inst.playbackIDs = append(inst.playbackIDs, event.ID)
	}
	inst.playbackNumbers[event.ID] = request.Playback
	return request, nil
}

// dispatch reports an event to the module.
func (inst *instance) dispatch(event *simwire.Event) error {
	module := inst.module
	switch event.Code {
	case simwire.EvRequest, simwire.EvOpen:
		if _, ok := inst.playbackNumbers[event.ID]; ok {
			return nil // identifiers are never reused, so this is a duplicate
		}
		request, err := inst.newRequest(event)
		if err != nil {
			return err
		}
		if event.Code == simwire.EvOpen {
			module.Opened(request, inst.serverNumber(event.Server))
		} else {
			module.Requested(request)
		}
		return nil
	case simwire.EvList:
		list := session.List{Complete: event.Complete(), Failed: event.ListFailed(),
			Entries: make([]session.Entry, len(event.Entries))}
		for i, entry := range event.Entries {
			if entry.Kind >= len(inst.site.Fleet.MaxStreams) {
				return fmt.Errorf("server list entry of unknown kind %d: the settings have fewer kinds", entry.Kind)
			}
			entry.Server = inst.serverNumber(entry.ID)
			list.Entries[i] = entry.Entry
		}
		module.Listed(list)
		return nil
	case simwire.EvWake:
		module.Woken(event.Token)
		return nil
	case simwire.EvProbed:
		module.Probed(inst.serverNumber(event.Server), event.Outcome, start.Load(inst.loadNames, event.LoadValues))
		return nil
	case simwire.EvPeer:
		return nil
	}
	pb, ok := inst.playbackNumbers[event.ID]
	if !ok {
		return nil // already finished and forgotten
	}
	switch event.Code {
	case simwire.EvPlaying:
		module.Playing(pb, event.Try, inst.serverNumber(event.Server), event.Took)
	case simwire.EvResult:
		module.Ended(session.Result{Playback: pb, Try: event.Try, Server: inst.serverNumber(event.Server),
			Outcome: event.Outcome, Took: event.Took, Final: event.Final, Load: start.Load(inst.loadNames, event.LoadValues)})
	case simwire.EvLeft:
		module.Left(pb)
	case simwire.EvNote:
		note := event.Note
		note.Playback, note.Server = pb, inst.serverNumber(event.Server)
		module.Noted(note)
	}
	return nil
}

func (inst *instance) SetRung(pb, rung int) {
	inst.reply.SetRung(inst.managerID, inst.playbackIDs[pb], rung)
}
func (inst *instance) Abort(pb int)                { inst.reply.Abort(inst.managerID, inst.playbackIDs[pb]) }
func (inst *instance) Move(pb int)                 { inst.reply.Move(inst.managerID, inst.playbackIDs[pb]) }
func (inst *instance) Probe(server int)            { inst.reply.Probe(inst.managerID, inst.serverIDs[server]) }
func (inst *instance) Watch()                      { inst.reply.Watch(inst.managerID) }
func (inst *instance) Wake(at int64, token uint64) { inst.reply.Wake(inst.managerID, at, token) }

func (inst *instance) Try(pb, server int, limit session.Time) {
	inst.reply.Try(inst.managerID, inst.playbackIDs[pb], inst.serverIDs[server], limit)
}

func (inst *instance) Reject(pb int, retryAfter session.Time) {
	inst.reply.Reject(inst.managerID, inst.playbackIDs[pb], retryAfter)
}

func (inst *instance) Forget(pb int) {
	delete(inst.playbackNumbers, inst.playbackIDs[pb])
	inst.freePlaybacks = append(inst.freePlaybacks, pb)
}
