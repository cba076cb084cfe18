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
	devEngines     = 20
	devServices    = 3
	devModels      = 100
	devAdapters    = 120
	devLoadsRate   = 4
	devStoreSlots  = 4
	devAdapterLoad = 30
	devAppends     = 300
	devListLag     = 5 * time.Second
	devWeightBytes = 2 * gib
	devRemoteRate  = gib // A checkpoint takes two seconds from the store.
	devTokenTime   = 10 * time.Millisecond
)

// devPlatform runs the platform's stand-ins on loopback inside this process.
type devPlatform struct {
	log     string
	list    string
	engines map[string]string // Engines holds the addresses by name.
	servers []*http.Server
	closers []func()
}

var devCentres = []string{"galle", "matara", "ambalangoda"}

func newDevPlatform(tokenTime time.Duration) (*devPlatform, error) {
	p := &devPlatform{engines: make(map[string]string)}
	var all []wire.Host
	var err error
	serve := func(h http.Handler, stop func()) string {
		var address string
		if err == nil {
			address, err = p.serve(h)
		}
		p.closers = append(p.closers, stop)
		return address
	}
	l := logs.New(logs.Settings{AppendsPerSecond: devAppends})
	p.log = serve(l.Handler(), l.Close)
	s := store.New(store.Settings{LoadsPerSecond: devLoadsRate, Slots: devStoreSlots, AdapterSlots: devAdapterLoad})
	weights := serve(s.Handler(), s.Close)
	for i := range devEngines {
		e := model.New(devEngine(i, weights, tokenTime))
		name := fmt.Sprintf("engine%02d", i)
		p.engines[name] = serve(e.Handler(), e.Close)
		all = append(all, wire.Host{
			Name: name, Address: p.engines[name], DataCentre: devCentres[i%len(devCentres)],
			Kind: wire.KindEngine, State: wire.HostLive, ChecksFence: i%2 == 0,
		})
	}
	for i := range devServices {
		x := plain.New(plain.Settings{})
		all = append(all, wire.Host{
			Name: fmt.Sprintf("booking%d", i), Address: serve(x.Handler(), x.Close), DataCentre: devCentres[i],
			Kind: wire.KindService, Service: "booking", State: wire.HostLive,
		})
	}
	h := hosts.New(hosts.Settings{Lag: devListLag})
	p.list = serve(h.Handler(), h.Close)
	if err == nil {
		err = h.Replace(all)
	}
	if err != nil {
		p.close()
		return nil, err
	}
	return p, nil
}

func devEngine(i int, weights string, tokenTime time.Duration) model.Settings {
	return model.Settings{
		Name: fmt.Sprintf("engine%02d", i), CapacityBytes: 16 * gib, Slots: 8, ChecksFence: i%2 == 0, TokenTime: tokenTime,
		BatchSlope: 0.1, PrefillTime: 100 * time.Microsecond, PrefixBlocks: 4096, DefaultTokens: 64, StatusLag: time.Second,
		EventLag: time.Second, EventLoss: 0.05, MemoryRate: 16 * gib, DiskRate: 4 * gib, RemoteRate: devRemoteRate, MemoryCopies: 4,
		DiskCopies: 32, AdapterMin: 6 * time.Millisecond, AdapterMax: 20 * time.Millisecond, Remote: store.NewClient(weights).Load,
	}
}

// devTemplates returns the models, with the adapters spread over them, and the booking service.
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
	go func() { _ = s.Serve(l) }() // ends with close
	return l.Addr().String(), nil
}

func (p *devPlatform) close() {
	for _, c := range p.closers {
		c()
	}
	for _, s := range p.servers {
		_ = s.Close()
	}
}
