package telem

import (
	"net/http"
	"strconv"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"github.com/fireflycleat/fireflycleat/pkg/codes"
)

const namespace = "fireflycleat"

// Metrics holds the metrics of one daemon.
type Metrics struct {
	registry       *prometheus.Registry
	requests       *prometheus.CounterVec
	requestsRead   *prometheus.CounterVec
	teamRequests   *prometheus.CounterVec
	firstToken     *prometheus.HistogramVec
	attempts       *prometheus.CounterVec
	appends        *prometheus.CounterVec
	peerCalls      *prometheus.CounterVec
	controlBytes   *prometheus.CounterVec
	controlStep    prometheus.Histogram
	modelCalls     prometheus.Gauge
	inFlight       prometheus.Gauge
	offset         prometheus.Gauge
	ready          prometheus.Gauge
	placement      *prometheus.GaugeVec
	hostView       *prometheus.GaugeVec
	teamAdmissions *prometheus.CounterVec
	teamCredit     *prometheus.GaugeVec
	refused        *prometheus.CounterVec
}

// NewMetrics returns a new registry of metrics, including those of the Go runtime and the process.
func NewMetrics() *Metrics {
	counter := func(name, help string, labels ...string) *prometheus.CounterVec {
		return prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: namespace, Name: name, Help: help}, labels)
	}
	gauge := func(name, help string) prometheus.Gauge {
		return prometheus.NewGauge(prometheus.GaugeOpts{Namespace: namespace, Name: name, Help: help})
	}
	m := &Metrics{
		registry:     prometheus.NewRegistry(),
		requests:     counter("requests_total", "Requests ended, by door and result code.", "door", "code"),
		requestsRead: counter("requests_read_total", "Requests whose head was read, by door.", "door"),
		teamRequests: counter("team_requests_total", "Requests ended, by team and result code.", "team", "code"),
		attempts:     counter("attempts_total", "Attempts at upstreams, by result.", "result"),
		refused:      counter("clients_refused_total", "Clients' connections refused or interrupted because of a limit, by reason.", "reason"),
		appends:      counter("log_appends_total", "Appends to the log, by record kind and result.", "kind", "result"),
		peerCalls:    counter("peer_calls_total", "Calls to peers, by method and result.", "method", "result"),
		controlBytes: counter("control_bytes_total", "Bytes of control, by link and direction.", "link", "direction"),
		firstToken: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Namespace: namespace, Name: "first_token_seconds",
			Help:    "Time from arrival to the first token, in seconds.",
			Buckets: prometheus.ExponentialBuckets(0.005, 2, 14),
		}, []string{"urgency"}),
		controlStep: prometheus.NewHistogram(prometheus.HistogramOpts{
			Namespace: namespace, Name: "control_step_seconds",
			Help:    "Time of one step of the control thread, in seconds.",
			Buckets: prometheus.ExponentialBuckets(1e-6, 4, 10),
		}),
		modelCalls: gauge("model_calls_in_flight", "Calls to models in progress, waiting ones included."),
		inFlight:   gauge("in_flight_requests", "Calls to models and services in progress."),
		offset:     gauge("log_offset", "Offset of the last log record applied."),
		ready:      gauge("ready", "1 when the host is ready to serve, else 0."),
		placement: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Namespace: namespace, Name: "placement", Help: "What the controller of the users' platform believes, by kind.",
		}, []string{"kind"}),
		hostView: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Namespace: namespace, Name: "believed", Help: "Numbers, versions and ages, in seconds, of what a host of the users' platform knows.",
		}, []string{"kind"}),
		teamAdmissions: counter("team_admissions_total", "Requests of teams with a rate limit, by what the limit did with them.", "team", "result"),
		teamCredit: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Namespace: namespace, Name: "team_credit", Help: "Shares and credit of the rate limits of teams, by kind.",
		}, []string{"team", "kind"}),
	}
	m.registry.MustRegister(m.requests, m.requestsRead, m.teamRequests, m.teamAdmissions, m.teamCredit, m.attempts, m.refused, m.appends, m.peerCalls, m.controlBytes, m.firstToken, m.controlStep, m.modelCalls, m.inFlight,
		m.offset, m.ready, m.placement, m.hostView, collectors.NewGoCollector(),
		collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	return m
}

// Handler serves the metrics in the Prometheus text format.
func (m *Metrics) Handler() http.Handler {
	return promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{})
}

// Request counts a finished request.
func (m *Metrics) Request(door string, c codes.Code) {
	m.requests.WithLabelValues(door, strconv.Itoa(int(c))).Inc()
}

// TeamRequest counts a finished request of a team.
func (m *Metrics) TeamRequest(team string, c codes.Code) {
	m.teamRequests.WithLabelValues(team, strconv.Itoa(int(c))).Inc()
}

// ForgetTeam drops the metrics of a team.
func (m *Metrics) ForgetTeam(team string) {
	labels := prometheus.Labels{"team": team}
	m.teamRequests.DeletePartialMatch(labels)
	m.teamAdmissions.DeletePartialMatch(labels)
	m.teamCredit.DeletePartialMatch(labels)
}

// RequestRead counts a request whose head was read. Each of them is counted by Request when it ends.
func (m *Metrics) RequestRead(door string) { m.requestsRead.WithLabelValues(door).Inc() }

// FirstToken records the time from the arrival of a request to its first token.
func (m *Metrics) FirstToken(urgency string, d time.Duration) {
	m.firstToken.WithLabelValues(urgency).Observe(d.Seconds())
}

// Attempt counts an attempt at an upstream.
func (m *Metrics) Attempt(result string) { m.attempts.WithLabelValues(result).Inc() }

// ClientRefused counts a client's connection that was refused or interrupted.
func (m *Metrics) ClientRefused(reason string) { m.refused.WithLabelValues(reason).Inc() }

// Append counts an append to the log.
func (m *Metrics) Append(kind, result string) { m.appends.WithLabelValues(kind, result).Inc() }

// PeerCall counts a call to a peer.
func (m *Metrics) PeerCall(method, result string) { m.peerCalls.WithLabelValues(method, result).Inc() }

// ControlStep records the duration of one step of the control thread.
func (m *Metrics) ControlStep(d time.Duration) { m.controlStep.Observe(d.Seconds()) }

// Load sets the number of calls to models in progress, and that of calls to models and services together.
func (m *Metrics) Load(models, inFlight int) {
	m.modelCalls.Set(float64(models))
	m.inFlight.Set(float64(inFlight))
}

// State sets the offset of the last log record applied, and whether the host is ready to serve.
func (m *Metrics) State(offset int64, ready bool) {
	m.offset.Set(float64(offset))
	value := 0.0
	if ready {
		value = 1
	}
	m.ready.Set(value)
}

// Placement sets a figure of the placement controller.
func (m *Metrics) Placement(kind string, value int) {
	m.placement.WithLabelValues(kind).Set(float64(value))
}

// TeamAdmission counts what the rate limit of a team did with a request.
func (m *Metrics) TeamAdmission(team, result string) {
	m.teamAdmissions.WithLabelValues(team, result).Inc()
}

// TeamCredit sets a figure of the rate limit of a team.
func (m *Metrics) TeamCredit(team, kind string, value float64) {
	m.teamCredit.WithLabelValues(team, kind).Set(value)
}

// SetHostView sets a count, a version or an age in seconds that describes the host's view of the platform.
func (m *Metrics) SetHostView(kind string, value float64) {
	m.hostView.WithLabelValues(kind).Set(value)
}
