package cell

import "time"

// Settings holds the parameters of a controller.
type Settings struct {
	Cell string
	// IsPreferred reports whether this cell is the preferred cell of a model; nil means true for every model.
	IsPreferred func(model string) bool

	// PinnedOrders is true if an order can reach only the engine incarnation that it names: senders use a connection
	// only after they have read the incarnation over it, or engines keep their fence across restarts. Otherwise a
	// restarted engine accepts a late order of an earlier holder, so engines that check fences are treated like engines
	// that ignore them.
	PinnedOrders bool

	StoreLoadsPerSecond float64 // cell's share of the weight store's rate
	StoreSlots          int     // cell's share of the concurrent loads that the store serves at full speed
	AdaptersInFlight    int     // cell's share of the adapter loads in flight

	// MemoryFactor is the load time from host memory relative to the store at full speed; observed loads correct it.
	MemoryFactor float64
	// DiskFactor is the load time from disk relative to the store at full speed; observed loads correct it.
	DiskFactor float64

	UrgentWeight float64 // weight of one urgent waiting request in the load order
	NormalWeight float64
	BulkWeight   float64

	ConfirmAge      time.Duration // maximum age of the last lease confirmation under which orders are sent
	OrderTimeout    time.Duration // time without an answer after which an order is in doubt
	QueryInterval   time.Duration // interval between two queries of the same order
	DoubtDelay      time.Duration // minimum time from the end of the sender to a query whose OrderNeverSeen is trusted
	FailureDelay    time.Duration // time before a failed load is retried on the same upstream
	ClaimInterval   time.Duration // interval between two claims for the same model
	DemandLife      time.Duration // minimum time for which a demand counts without being repeated
	PublishInterval time.Duration // minimum interval between two directories
	DrainDelay      time.Duration // time in which a directory reaches every host
	DrainTime       time.Duration // expected time to empty a replica that is drained with work
	AdapterTime     time.Duration // expected time of an adapter load
	RetryDefault    time.Duration // retry time for refusals without a prediction

	ColdCost float64       // cost of one second of a later load, in seconds of an idle replica
	IdleMin  time.Duration // minimum time for which an idle replica stays loaded
	IdleMax  time.Duration // maximum time for which an idle replica stays loaded
}

// DefaultSettings returns the settings of a cell that has the weight store and the adapter limit to itself.
func DefaultSettings() Settings {
	return Settings{
		StoreLoadsPerSecond: 4,
		StoreSlots:          4,
		AdaptersInFlight:    30,
		MemoryFactor:        0.1,
		DiskFactor:          0.4,
		UrgentWeight:        16,
		NormalWeight:        4,
		BulkWeight:          1,
		ConfirmAge:          2 * time.Second,
		OrderTimeout:        2 * time.Second,
		QueryInterval:       500 * time.Millisecond,
		DoubtDelay:          500 * time.Millisecond,
		FailureDelay:        3 * time.Second,
		ClaimInterval:       2 * time.Second,
		DemandLife:          10 * time.Second,
		PublishInterval:     50 * time.Millisecond,
		DrainDelay:          250 * time.Millisecond,
		DrainTime:           5 * time.Second,
		AdapterTime:         15 * time.Millisecond,
		RetryDefault:        5 * time.Second,
		ColdCost:            1,
		IdleMin:             0,
		IdleMax:             10 * time.Minute,
	}
}
