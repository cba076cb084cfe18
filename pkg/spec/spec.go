package spec

import "time"

// Urgency classes, most urgent first. Engines use the same order.
const (
	Urgent Urgency = iota
	Normal
	Bulk
)

// Kinds of template.
const (
	ModelTemplate   Kind = "model"
	ServiceTemplate Kind = "service"
)

type (
	// Urgency is the urgency class of a request. Lower values are served first.
	Urgency int

	// Kind is the kind of a template.
	Kind string

	// Template describes one model with its adapters, or one plain service. Operators publish it under its name.
	Template struct {
		Name    string   `json:"name"`
		Kind    Kind     `json:"kind"`
		Model   *Model   `json:"model,omitempty"`
		Service *Service `json:"service,omitempty"`
	}

	// Model describes a model that engines can load.
	Model struct {
		Version      string `json:"version"`
		MaxReplicas  int    `json:"maxReplicas"`
		MinReplicas  int    `json:"minReplicas"`
		WeightBytes  int64  `json:"weightBytes"`
		KVBytes      int64  `json:"kvBytes"`      // KV cache reserved for each replica
		AdapterBytes int64  `json:"adapterBytes"` // adapter memory reserved for each replica
		Slots        int    `json:"slots"`        // maximum number of requests that a replica batches
		// LoadMillis is the expected time to load from the weight store at full speed, in milliseconds.
		LoadMillis int64 `json:"loadMillis"`
		// TokenMicros is the expected time between two tokens with a full batch, in microseconds.
		TokenMicros int64     `json:"tokenMicros"`
		Adapters    []Adapter `json:"adapters,omitempty"`
	}

	// Adapter describes an adapter of a model.
	Adapter struct {
		Name  string `json:"name"`
		Bytes int64  `json:"bytes"`
	}

	// Service describes a plain service that the system routes to.
	Service struct {
		// Repeatable lists the HTTP methods that may be retried if no response arrives.
		Repeatable []string `json:"repeatable"`
		// TimeoutMillis is the maximum duration of a call, in milliseconds.
		TimeoutMillis int64 `json:"timeoutMillis"`
	}

	// Team holds the parameters of a team.
	Team struct {
		Name string `json:"name"`
		// KeyDigests are hex SHA-256 digests of the API keys of the team.
		KeyDigests []string `json:"keyDigests"`
		Models     []string `json:"models"`   // models that the team may call; "*" means all
		Adapters   []string `json:"adapters"` // adapters that the team may call; "*" means all
		Services   []string `json:"services"` // services that the team may call; "*" means all
		Urgency    Urgency  `json:"urgency"`  // default class of requests
		// MaxUrgency is the most urgent class that a request may specify.
		MaxUrgency Urgency `json:"maxUrgency"`
		// MaxInFlight limits the team's concurrent requests over all hosts; zero means no limit.
		MaxInFlight int `json:"maxInFlight"`
		// DeadlineMillis is the default deadline for the first token of a request, in milliseconds.
		DeadlineMillis int64 `json:"deadlineMillis"`
	}

	// View is an immutable snapshot of the configuration at one log offset.
	View struct {
		offset    int64
		templates map[string]Template
		teams     map[string]Team
		teamByKey map[string]string
	}
)

// NewView returns a snapshot of the given templates and teams as of the log offset.
func NewView(offset int64, templates []Template, teams []Team) *View {
	v := &View{
		offset:    offset,
		templates: make(map[string]Template, len(templates)),
		teams:     make(map[string]Team, len(teams)),
		teamByKey: make(map[string]string),
	}
	for _, t := range templates {
		v.templates[t.Name] = t
	}
	for _, t := range teams {
		v.teams[t.Name] = t
		for _, k := range t.KeyDigests {
			v.teamByKey[k] = t.Name
		}
	}
	return v
}

// Offset returns the log offset that the snapshot reflects.
func (v *View) Offset() int64 { return v.offset }

// Model returns the model with the given name.
func (v *View) Model(name string) (Model, bool) {
	t, ok := v.templates[name]
	if !ok || t.Model == nil {
		return Model{}, false
	}
	return *t.Model, true
}

// Service returns the service with the given name.
func (v *View) Service(name string) (Service, bool) {
	t, ok := v.templates[name]
	if !ok || t.Service == nil {
		return Service{}, false
	}
	return *t.Service, true
}

// Team returns the team with the given name.
func (v *View) Team(name string) (Team, bool) {
	t, ok := v.teams[name]
	return t, ok
}

// TeamByKey returns the team that owns the API key with the given SHA-256 digest in hexadecimal.
func (v *View) TeamByKey(digest string) (Team, bool) {
	name, ok := v.teamByKey[digest]
	if !ok {
		return Team{}, false
	}
	return v.Team(name)
}

// Models returns the names of all models in ascending order.
func (v *View) Models() []string {
	var names []string
	for _, n := range sortedKeys(v.templates) {
		if v.templates[n].Model != nil {
			names = append(names, n)
		}
	}
	return names
}

// Teams returns the names of all teams in ascending order.
func (v *View) Teams() []string { return sortedKeys(v.teams) }

// Templates returns the names of all templates in ascending order.
func (v *View) Templates() []string { return sortedKeys(v.templates) }

// Template returns the template with the given name.
func (v *View) Template(name string) (Template, bool) {
	t, ok := v.templates[name]
	return t, ok
}

// ReplicaBytes returns the accelerator memory that one replica reserves, in bytes.
func (m Model) ReplicaBytes() int64 { return m.WeightBytes + m.KVBytes + m.AdapterBytes }

// LoadTime returns the expected time to load from the weight store at full speed.
func (m Model) LoadTime() time.Duration { return time.Duration(m.LoadMillis) * time.Millisecond }

// TokenTime returns the expected time between two tokens with a full batch.
func (m Model) TokenTime() time.Duration { return time.Duration(m.TokenMicros) * time.Microsecond }

// Adapter returns the adapter with the given name.
func (m Model) Adapter(name string) (Adapter, bool) {
	for _, a := range m.Adapters {
		if a.Name == name {
			return a, true
		}
	}
	return Adapter{}, false
}

// String returns the name of the class as used in requests.
func (u Urgency) String() string {
	if u < Urgent || u > Bulk {
		return "invalid"
	}
	return [...]string{"urgent", "normal", "bulk"}[u]
}

// ParseUrgency returns the class with the given name, and whether the name is valid.
func ParseUrgency(name string) (Urgency, bool) {
	for u := Urgent; u <= Bulk; u++ {
		if u.String() == name {
			return u, true
		}
	}
	return Normal, false
}
