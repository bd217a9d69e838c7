package intake

// Config bounds the state of an Intake and sets its timeouts. Times are in
// milliseconds.
type Config struct {
	// TrustFirstCopies saves a check where a device declares that it sends a
	// reading for the first time. Without it every reading is checked first.
	TrustFirstCopies bool
	// Durable stores readings before they are submitted, and acknowledges them
	// as soon as they are stored.
	Durable bool

	MaxReadings   int // in progress
	MaxBytes      int // of the readings in progress, with overhead
	MaxPerDevice  int // readings of one device in progress
	MaxPerNetwork int // readings from one network in progress
	MaxDevices    int // remembered
	MaxRecent     int // recorded readings remembered for each device
	MaxWaiters    int // copies of one reading that wait for its answer
	MaxWindow     int // submissions in flight to one replica group

	WriteTimeout  float64
	CheckTimeout  float64
	MaxOverrun    float64 // how long an attempt may go on past its deadline or a lost connection
	ClockMargin   float64 // for differences between clocks and the transit of answers
	AnswerTimeout float64 // from a copy's arrival to its answer
	MinRetryAfter float64
	MaxRetryAfter float64
	RecoveryRamp  float64 // over which a group's window opens after an outage
}

// Defaults returns the configuration of a small router.
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

// minWriteTimeoutMs is the shortest timeout with which a write is sent, in
// milliseconds.
const minWriteTimeoutMs = 250
