package cmds

import (
	"bytes"
	"os"

	"github.com/cockroachdb/errors"
	"github.com/pelletier/go-toml/v2"

	"github.com/fireflycleat/fireflycleat/pkg/codes"
)

// readTOML decodes an operator's file; unknown keys and wrong types are faults that name line and key.
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
