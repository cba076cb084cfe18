package cmds

import (
	"bytes"
	"os"
	"strconv"

	"github.com/cockroachdb/errors"
	"github.com/pelletier/go-toml/v2"

	"github.com/fireflycleat/fireflycleat/pkg/codes"
	"github.com/fireflycleat/fireflycleat/pkg/spec"
)

type (
	// teamFile is the format of an operator's team file.
	teamFile struct {
		Name           string       `toml:"name"`
		KeyDigests     []string     `toml:"keyDigests"`
		Models         []string     `toml:"models"`
		Adapters       []string     `toml:"adapters"`
		Services       []string     `toml:"services"`
		Urgency        urgencyText  `toml:"urgency"`
		MaxUrgency     *urgencyText `toml:"maxUrgency"`
		MaxInFlight    int          `toml:"maxInFlight"`
		DeadlineMillis int64        `toml:"deadlineMillis"`
	}

	// urgencyText is an urgency class given by name or number. An invalid value is recorded here, so that readTeam can report it
	// with its key.
	urgencyText struct {
		value   spec.Urgency
		invalid bool
	}
)

// UnmarshalText parses the name or number of an urgency class. It never fails; see urgencyText.
func (u *urgencyText) UnmarshalText(b []byte) error {
	var ok bool
	if u.value, ok = spec.ParseUrgency(string(b)); ok {
		return nil
	}
	n, err := strconv.Atoi(string(b))
	u.value, u.invalid = spec.Urgency(n), err != nil || spec.Urgency(n) < spec.Urgent || spec.Urgency(n) > spec.Bulk
	return nil
}

// readTeam decodes a team file. The highest class that requests of the team may name is maxUrgency, which defaults to urgency.
func readTeam(file string) (spec.Team, error) {
	var f teamFile
	if err := readTOML(file, &f); err != nil {
		return spec.Team{}, err
	}
	if f.MaxUrgency == nil {
		f.MaxUrgency = &f.Urgency
	}
	for _, u := range []struct {
		key  string
		text urgencyText
	}{{"urgency", f.Urgency}, {"maxUrgency", *f.MaxUrgency}} {
		if u.text.invalid {
			return spec.Team{}, codes.New(codes.BadRequest, `must be "urgent", "normal" or "bulk", or 0, 1 or 2`).WithField(u.key)
		}
	}
	return spec.Team{
		Name: f.Name, KeyDigests: f.KeyDigests, Models: f.Models, Adapters: f.Adapters, Services: f.Services, Urgency: f.Urgency.value,
		MaxUrgency: f.MaxUrgency.value, MaxInFlight: f.MaxInFlight, DeadlineMillis: f.DeadlineMillis,
	}, nil
}

// readTOML decodes an operator's file. Unknown keys and wrong types are errors that name the line and the key.
func readTOML(file string, into any) error {
	data, err := os.ReadFile(file)
	if err != nil {
		return codes.New(codes.BadArgument, err.Error())
	}
	d := toml.NewDecoder(bytes.NewReader(data))
	d.DisallowUnknownFields()
	err = d.Decode(into)
	var missing *toml.StrictMissingError
	var syntax *toml.DecodeError
	switch {
	case err == nil:
		return nil
	case errors.As(err, &missing):
		return codes.New(codes.BadArgument, file+": unknown keys\n"+missing.String())
	case errors.As(err, &syntax):
		return codes.New(codes.BadArgument, file+"\n"+syntax.String())
	}
	return codes.New(codes.BadArgument, file+": "+err.Error())
}
