package intake

// Config bounds the state of an Intake and sets its timeouts. All durations are
// in milliseconds.
type Config struct {
	// TrustFirstCopies lets a reading be written without a check when its device
	// declares that it sends it for the first time. If false, every reading is
	// checked first.
	TrustFirstCopies bool
	// Durable stores readings before they are submitted, and acknowledges them
	// as soon as they are stored.
	Durable bool

	MaxReadings   int // readings in progress
	MaxBytes      int // memory of the readings in progress, in bytes with overhead
	MaxPerDevice  int // readings in progress of one device
	MaxPerNetwork int // readings in progress from one network
	MaxDevices    int // devices in memory
	MaxRecent     int // recorded readings kept in memory for each device
	MaxWaiters    int // copies of one reading that wait for its answer
	MaxWindow     int // submissions in flight to one replica group

	WriteTimeout  float64 // of one write submission
	CheckTimeout  float64 // of one check submission
	MaxOverrun    float64 // how long an attempt may go on past its deadline or a lost connection
	ClockMargin   float64 // allowance for differences between clocks and the transit of answers
	AnswerTimeout float64 // from the arrival of a reading's latest copy to its answer
	MinRetryAfter float64 // shortest RetryAfter of an Answer
	MaxRetryAfter float64 // longest RetryAfter of an Answer
	RecoveryRamp  float64 // how long a group's window takes to open after an outage
}

// Defaults returns the default configuration, which suits a small router.
func Defaults() Config {
	return Config{
		TrustFirstCopies: true,

		MaxReadings:   20000,
		MaxBytes:      16 << 20,
		MaxPerDevice:  64,
		MaxPerNetwork: 5000,
		MaxDevices:    50000,
		MaxRecent:     32,
		MaxWaiters:    4,
		MaxWindow:     32,

		WriteTimeout:  1200,
		CheckTimeout:  1200,
		MaxOverrun:    3000,
		ClockMargin:   200,
		AnswerTimeout: 20000,
		MinRetryAfter: 500,
		MaxRetryAfter: 30000,
		RecoveryRamp:  10000,
	}
}

// minWriteTimeoutMs is the shortest timeout with which a write is sent; with
// less time left in its idempotency window, the reading is checked first.
const minWriteTimeoutMs = 250
