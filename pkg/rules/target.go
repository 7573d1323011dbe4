package rules

// Describe returns the target in the words of the language, or "everything".
func (t Target) Describe() string {
	text := ""
	add := func(key, value string) {
		if value == "" {
			return
		}
		if text != "" {
			text += " "
		}
		text += key + "=" + value
	}
	add("vm", string(t.VM))
	add("rack", string(t.Rack))
	add("domain", string(t.Domain))
	add("service", string(t.Service))
	add("team", string(t.Team))
	if text == "" {
		return "everything"
	}
	return text
}

// Matches reports whether every field of t that is set equals the field of the candidate.
func (t Target) Matches(candidate Target) bool {
	return (t.VM == "" || t.VM == candidate.VM) &&
		(t.Rack == "" || t.Rack == candidate.Rack) &&
		(t.Domain == "" || t.Domain == candidate.Domain) &&
		(t.Service == "" || t.Service == candidate.Service) &&
		(t.Team == "" || t.Team == candidate.Team)
}

// including returns the targets that include t: t itself, and t with any of its fields left out.
func (t Target) including() []Target {
	targets := []Target{t}
	leaveOut := func(change func(*Target)) {
		for _, wider := range targets[:len(targets):len(targets)] {
			before := wider
			change(&wider)
			if wider != before {
				targets = append(targets, wider)
			}
		}
	}
	leaveOut(func(t *Target) { t.VM = "" })
	leaveOut(func(t *Target) { t.Rack = "" })
	leaveOut(func(t *Target) { t.Domain = "" })
	leaveOut(func(t *Target) { t.Service = "" })
	leaveOut(func(t *Target) { t.Team = "" })
	return targets
}
