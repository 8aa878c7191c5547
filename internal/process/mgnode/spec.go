package mgnode

import (
	"context"
	"crypto/rand"
	"io"

	"github.com/marjoramgauge/marjoramgauge/internal/connection/mgpeer"
	"github.com/marjoramgauge/marjoramgauge/internal/connection/mgplatform"
	"github.com/marjoramgauge/marjoramgauge/internal/process/mgrelay"
	"github.com/marjoramgauge/marjoramgauge/internal/process/mgsettings"
	"github.com/marjoramgauge/marjoramgauge/internal/request/mgmigration"
	"github.com/marjoramgauge/marjoramgauge/internal/request/mgseal"
	"github.com/marjoramgauge/marjoramgauge/pkg/mgdial"
	"github.com/marjoramgauge/marjoramgauge/pkg/mgtable"
)

// Spec configures a node.
type Spec struct {
	Settings mgsettings.Process
	Log      io.Writer
	// Memory is the memory of the VM in bytes; see mgheap. If it is 0, what may be held for callers follows
	// from Settings.Memory, and collections stay as they are.
	Memory int64
	// MaxFiles is the number of descriptors that the process may have, 0 if it isn't known.
	MaxFiles int64
	// Platform reads the table and the list of VMs. Nil uses the service at
	// Settings.PlatformURL.
	Platform *mgplatform.Client
	// ListConfirmsTable is true if the platform's response about the list of VMs also shows that
	// there is no newer table; see mgconfig.MachineSpec.
	ListConfirmsTable bool
	// RowsExpire is true if rows of the list of VMs expire while the platform is unavailable;
	// see mgconfig.MachineSpec.
	RowsExpire bool
	// ParsedPage returns the page of the table that has the digest if the process has
	// parsed it already, else nil; see mgconfig.MachineSpec.
	ParsedPage func(digest string) *mgtable.Page
	// Unkeyed is true if the network lets only the system's own processes reach
	// Settings.PeerAddr, so that they need no shared key. The names of responses, by
	// which callers resume them, are then sealed (see mgseal) with a key that only this
	// process has.
	Unkeyed bool
	// Relay switches on the relay, by which the table's routes pass requests through to
	// upstreams, and names the headers of these requests. Nil passes no requests through.
	Relay *mgrelay.HeaderNames
	// Probe asks an upstream whether it is leaving. Nil asks none.
	Probe func(ctx context.Context, upstream mgrelay.Host) (leaving bool, err error)
	// AskIncarnation asks an upstream when its incarnation started. Nil asks none.
	AskIncarnation func(ctx context.Context, upstream mgrelay.Host) (start int64, err error)
	// Move calls the source of a migration. Nil migrates nothing.
	Move func(ctx context.Context, source mgrelay.Host, order mgrelay.MoveOrder) mgmigration.Reply
}

// newKeys returns the guard that secures calls between processes and the signer that seals
// names.
func newKeys(spec Spec) (*mgpeer.Guard, *mgseal.Signer, error) {
	settings := spec.Settings
	if spec.Unkeyed {
		key := make([]byte, ownKeyBytes)
		_, _ = rand.Read(key) // never fails, by its documentation
		signer, err := mgseal.New(mgseal.Spec{Current: key})
		return mgpeer.NewWithoutKey(), signer, err
	}
	guard, err := mgpeer.New(mgpeer.Spec{
		Secret:   settings.Secret,
		Previous: settings.PreviousSecret,
		TLS:      certFiles(settings.TLS),
	})
	if err != nil {
		return nil, nil, err
	}
	signer, err := mgseal.New(mgseal.Spec{
		Current:  []byte(settings.Secret),
		Previous: []byte(settings.PreviousSecret),
	})
	return guard, signer, err
}

// certFiles returns the file names of a certificate.
func certFiles(names mgsettings.TLS) mgpeer.Files {
	return mgpeer.Files{
		Cert: names.Cert,
		Key:  names.Key,
		CA:   names.CA,
	}
}

// ownKeyBytes is the length of a process's own key, that of a SHA-256.
const ownKeyBytes = 32

func (s Spec) platform() mgplatform.Client {
	if s.Platform != nil {
		return *s.Platform
	}
	return mgplatform.NewHTTP(s.Settings.PlatformURL, mgdial.NewClient())
}
