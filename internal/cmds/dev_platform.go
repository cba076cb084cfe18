package cmds

import (
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/fireflycleat/fireflycleat/internal/stand/hosts"
	"github.com/fireflycleat/fireflycleat/internal/stand/logs"
	"github.com/fireflycleat/fireflycleat/internal/stand/model"
	"github.com/fireflycleat/fireflycleat/internal/stand/plain"
	"github.com/fireflycleat/fireflycleat/internal/stand/store"
	"github.com/fireflycleat/fireflycleat/internal/wire"
	"github.com/fireflycleat/fireflycleat/pkg/codes"
	"github.com/fireflycleat/fireflycleat/pkg/spec"
)

// The sizes of the Wijesinghe deployment.
const (
	devEngines             = 20
	devServices            = 3
	devModels              = 100
	devAdapters            = 120
	devStoreLoadsPerSecond = 4
	devStoreSlots          = 4
	devStoreAdapterSlots   = 30
	devAppendsPerSecond    = 300
	devHostListLag         = 5 * time.Second
	devWeightBytes         = 2 * gib
	devRemoteRate          = gib // bytes per second; a checkpoint loads from the store in 2 s
	devTokenTime           = 10 * time.Millisecond
)

// devPlatform runs stand-ins of the platform's services on loopback in this process.
type devPlatform struct {
	logAddress      string
	hostListAddress string
	engineAddresses map[string]string // by engine name
	servers         []*http.Server
	closeFuncs      []func()
}

var devDataCentres = []string{"galle", "matara", "ambalangoda"}

func newDevPlatform(tokenTime time.Duration) (*devPlatform, error) {
	p := &devPlatform{engineAddresses: make(map[string]string)}
	var all []wire.Host
	var err error
	serve := func(h http.Handler, stop func()) string {
		var address string
		if err == nil {
			address, err = p.serve(h)
		}
		p.closeFuncs = append(p.closeFuncs, stop)
		return address
	}
	l := logs.New(logs.Settings{AppendsPerSecond: devAppendsPerSecond})
	p.logAddress = serve(l.Handler(), l.Close)
	s := store.New(store.Settings{LoadsPerSecond: devStoreLoadsPerSecond, Slots: devStoreSlots, AdapterSlots: devStoreAdapterSlots})
	storeAddress := serve(s.Handler(), s.Close)
	for i := range devEngines {
		e := model.New(devEngine(i, storeAddress, tokenTime))
		name := fmt.Sprintf("engine%02d", i)
		p.engineAddresses[name] = serve(e.Handler(), e.Close)
		all = append(all, wire.Host{
			Name: name, Address: p.engineAddresses[name], DataCentre: devDataCentres[i%len(devDataCentres)],
			Kind: wire.KindEngine, State: wire.HostLive, ChecksFence: i%2 == 0,
		})
	}
	for i := range devServices {
		x := plain.New(plain.Settings{})
		all = append(all, wire.Host{
			Name: fmt.Sprintf("booking%d", i), Address: serve(x.Handler(), x.Close), DataCentre: devDataCentres[i],
			Kind: wire.KindService, Service: "booking", State: wire.HostLive,
		})
	}
	h := hosts.New(hosts.Settings{Lag: devHostListLag})
	p.hostListAddress = serve(h.Handler(), h.Close)
	if err == nil {
		err = h.Replace(all)
	}
	if err != nil {
		p.close()
		return nil, err
	}
	return p, nil
}

func devEngine(i int, storeAddress string, tokenTime time.Duration) model.Settings {
	return model.Settings{
		Name: fmt.Sprintf("engine%02d", i), CapacityBytes: 16 * gib, Slots: 8, ChecksFence: i%2 == 0, TokenTime: tokenTime,
		BatchSlope: 0.1, PrefillTime: 100 * time.Microsecond, PrefixBlocks: 4096, DefaultTokens: 64, StatusLag: time.Second,
		EventLag: time.Second, EventLoss: 0.05, MemoryRate: 16 * gib, DiskRate: 4 * gib, RemoteRate: devRemoteRate, MemoryCopies: 4,
		DiskCopies: 32, AdapterMin: 6 * time.Millisecond, AdapterMax: 20 * time.Millisecond, Remote: store.NewClient(storeAddress).Load,
	}
}

// devTemplates returns the templates of the booking service and of the models, with the adapters distributed over the models.
func devTemplates() []spec.Template {
	list := []spec.Template{{
		Name: "booking", Kind: spec.ServiceTemplate, Service: &spec.Service{Repeatable: []string{"GET"}, TimeoutMillis: 5000},
	}}
	for i := range devModels {
		m := &spec.Model{
			Version: "v1", MaxReplicas: 3, WeightBytes: devWeightBytes, KVBytes: gib / 2, AdapterBytes: gib / 8, Slots: 8,
			LoadMillis: 2000, TokenMicros: 18000,
		}
		for a := i; a < devAdapters; a += devModels {
			m.Adapters = append(m.Adapters, spec.Adapter{Name: fmt.Sprintf("adapter-%03d", a), Bytes: gib / 64})
		}
		list = append(list, spec.Template{Name: fmt.Sprintf("dial-train-%02d", i), Kind: spec.ModelTemplate, Model: m})
	}
	return list
}

func (p *devPlatform) serve(h http.Handler) (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", codes.New(codes.Internal, err.Error())
	}
	s := &http.Server{Handler: h, ReadHeaderTimeout: time.Minute}
	p.servers = append(p.servers, s)
	go func() { _ = s.Serve(l) }() // returns when close is called
	return l.Addr().String(), nil
}

func (p *devPlatform) close() {
	for _, c := range p.closeFuncs {
		c()
	}
	for _, s := range p.servers {
		_ = s.Close()
	}
}
