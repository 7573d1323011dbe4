package rules

// Describe formats the target in the rules language, or returns "everything" if no field is set.
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

// supersets returns the targets that include t: t itself, and t with any subset of its fields cleared.
func (t Target) supersets() []Target {
	targets := []Target{t}
	clearField := func(change func(*Target)) {
		for _, wider := range targets[:len(targets):len(targets)] {
			before := wider
			change(&wider)
			if wider != before {
				targets = append(targets, wider)
			}
		}
	}
	clearField(func(t *Target) { t.VM = "" })
	clearField(func(t *Target) { t.Rack = "" })
	clearField(func(t *Target) { t.Domain = "" })
	clearField(func(t *Target) { t.Service = "" })
	clearField(func(t *Target) { t.Team = "" })
	return targets
}
