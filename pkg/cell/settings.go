package cell

import "time"

// Settings are the parameters of a controller. All shares are those of this cell.
type Settings struct {
	Cell string
	// Home tells whether this cell is the home cell of a model; nil means that it is the home of every model.
	Home func(model string) bool

	// PinnedOrders tells that no order reaches another incarnation of an engine than the one it names: senders use a
	// connection only after they read the incarnation over it, or engines keep their fence over a restart. Otherwise a
	// restarted engine accepts the late order of an earlier holder, so that engines that check fences are treated like
	// engines that ignore them.
	PinnedOrders bool

	StoreLoadsPerSecond float64 // StoreLoadsPerSecond is the cell's share of the weight store's rate.
	StoreSlots          int     // StoreSlots is the cell's share of the loads at full speed at once.
	AdaptersInFlight    int     // AdaptersInFlight is the cell's share of the adapter loads in flight.

	// MemoryFactor is the load time from host memory relative to the store at full speed; later loads correct it.
	MemoryFactor float64
	// DiskFactor is the load time from disk relative to the store at full speed; later loads correct it.
	DiskFactor float64

	UrgentWeight float64 // UrgentWeight is the weight of an urgent waiter in the load order.
	NormalWeight float64
	BulkWeight   float64

	ConfirmAge      time.Duration // ConfirmAge is the age of the last lease confirmation at which orders stop.
	OrderTimeout    time.Duration // OrderTimeout is the time without an answer after which an order is in doubt.
	QueryInterval   time.Duration // QueryInterval is the time between two queries of the same order.
	DoubtDelay      time.Duration // DoubtDelay is the time after a sender's end from which "never seen" is trusted.
	FailureDelay    time.Duration // FailureDelay is the time for which a failed load is not repeated on an upstream.
	ClaimInterval   time.Duration // ClaimInterval is the time between two claims for the same model.
	DemandLife      time.Duration // DemandLife is the least time for which a demand counts without being repeated.
	PublishInterval time.Duration // PublishInterval is the least time between two directories.
	DrainDelay      time.Duration // DrainDelay is the time that a directory needs to reach every entry.
	DrainTime       time.Duration // DrainTime is the expected time until a drained replica with work is empty.
	AdapterTime     time.Duration // AdapterTime is the expected time of an adapter load.
	RetryDefault    time.Duration // RetryDefault is the retry time where no prediction exists.

	ColdCost float64       // ColdCost is the cost of one second of a later load in seconds of idle replica.
	IdleMin  time.Duration // IdleMin is the least time for which an idle replica stays loaded.
	IdleMax  time.Duration // IdleMax is the longest time for which an idle replica stays loaded.
}

// DefaultSettings returns the settings for a cell that has the weight store and the adapter limit to itself.
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
