package standin

import (
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/oleanderline/oleanderline"
)

// controlHelp is the response to GET / on the control endpoint.
const controlHelp = `POST /fault?target=T&name=N&value=V
  T log, vms or a worker's id:  down=true|false  delay=500ms  lose=3 (-1: all)  pause=true|false
  T a worker's id:              failing=true|false  terminate=true
  T a minion's id:              leaving=true|false  aborting=true|false  silence=true  crash=true|false
POST /vm?id=ID&state=leaving|gone
`

// faultSetter sets the faults that the log, the VM list and the workers have in common.
type faultSetter interface {
	SetDown(down bool)
	SetDelay(delay time.Duration)
	LoseAnswers(n int)
	SetPaused(paused bool)
}

// ControlHandler serves the control endpoint, which sets faults and changes the VM list. It calls onFault, if not nil, after
// each fault that was set.
func (p *Platform) ControlHandler(onFault func(target, name, value string)) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /{$}", func(w http.ResponseWriter, _ *http.Request) { _, _ = fmt.Fprint(w, controlHelp) })
	mux.HandleFunc("POST /fault", func(w http.ResponseWriter, r *http.Request) {
		target, name, value := r.FormValue("target"), r.FormValue("name"), r.FormValue("value")
		if err := p.SetFault(target, name, value); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		if onFault != nil {
			onFault(target, name, value)
		}
	})
	mux.HandleFunc("POST /vm", func(w http.ResponseWriter, r *http.Request) {
		id := oleanderline.VMID(r.FormValue("id"))
		switch r.FormValue("state") {
		case "leaving":
			p.VMs.MarkLeaving(id)
		case "gone":
			p.VMs.Remove(id)
		default:
			http.Error(w, "state must be leaving or gone", http.StatusBadRequest)
		}
	})
	return mux
}

// SetFault sets a fault by name, see controlHelp.
func (p *Platform) SetFault(target, name, value string) error {
	if m, ok := p.Minions[oleanderline.VMID(target)]; ok {
		return setMinionFault(m, name, value)
	}
	if w, ok := p.Workers[oleanderline.VMID(target)]; ok {
		return setWorkerFault(w, name, value)
	}
	switch target {
	case "log":
		return setFault(p.Log, name, value)
	case "vms":
		return setFault(p.VMs, name, value)
	default:
		return fmt.Errorf("target=%q: want log, vms or the id of a worker or minion", target)
	}
}

func setFault(target faultSetter, name, value string) error {
	switch name {
	case "down":
		return setBool(value, target.SetDown)
	case "pause":
		return setBool(value, target.SetPaused)
	case "delay":
		delay, err := time.ParseDuration(value)
		if err != nil {
			return err
		}
		target.SetDelay(delay)
	case "lose":
		n, err := strconv.Atoi(value)
		if err != nil {
			return err
		}
		target.LoseAnswers(n)
	default:
		return fmt.Errorf("name=%q: unknown fault for this target", name)
	}
	return nil
}

func setWorkerFault(w *Worker, name, value string) error {
	switch name {
	case "failing":
		return setBool(value, w.SetFailing)
	case "terminate":
		w.Terminate()
		return nil
	default:
		return setFault(w, name, value)
	}
}

func setMinionFault(m *Minion, name, value string) error {
	switch name {
	case "leaving":
		return setBool(value, m.SetLeaving)
	case "aborting":
		return setBool(value, m.SetAborting)
	case "silence":
		m.Silence()
		return nil
	case "crash":
		crash, err := strconv.ParseBool(value)
		if err != nil {
			return err
		}
		if crash {
			m.Crash()
			return nil
		}
		return m.Listen("")
	default:
		return fmt.Errorf("name=%q: unknown fault for this target", name)
	}
}

func setBool(value string, set func(bool)) error {
	b, err := strconv.ParseBool(value)
	if err != nil {
		return err
	}
	set(b)
	return nil
}
