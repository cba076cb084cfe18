package peers

import (
	"syscall"

	"github.com/cockroachdb/errors"

	"github.com/fireflycleat/fireflycleat/pkg/codes"
)

// refusedField marks the error of a refused connection, which proves that no process listens at the address. A timeout does not
// prove that.
const refusedField = "connection"

func dialError(err error) error {
	e := codes.New(codes.PeerUnavailable, err.Error()).WithOutcome(codes.NotRun)
	if errors.Is(err, syscall.ECONNREFUSED) {
		return e.WithField(refusedField)
	}
	return e
}
