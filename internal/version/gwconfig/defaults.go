package gwconfig

import gw "github.com/geraniumworks/geraniumworks"

// DefaultLimits returns the limits of a service that gives none.
func DefaultLimits() gw.ServiceLimits {
	return gw.ServiceLimits{
		SlotsPerServer:             4,
		ConnectionsPerServer:       64,
		RequestsPerSecondPerServer: 1000,
		QueueLength:                64,
		QueueMilliseconds:          1000,
		DeadlineMilliseconds:       10_000,
		// The progress bound of section 10 of the design page.
		ProgressMilliseconds: 1000,
		BodyBytes:            1 << 20,
		// The retry budget of section 9 of the design page.
		RetryPercent:         10,
		HedgePercent:         5,
		ColdPercent:          25,
		ColdStepMilliseconds: 1000,
	}
}

// bounds gives the least and the greatest value of each limit, by field name.
var bounds = map[string][2]int64{
	"slots-per-server":               {1, 10_000},
	"connections-per-server":         {1, 100_000},
	"requests-per-second-per-server": {1, 1_000_000},
	"queue-length":                   {0, 100_000},
	"queue-milliseconds":             {0, 60_000},
	"deadline-milliseconds":          {1, 600_000},
	"progress-milliseconds":          {1, 600_000},
	"body-bytes":                     {0, 1 << 30},
	"retry-percent":                  {0, 100},
	"hedge-percent":                  {0, 100},
	"cold-percent":                   {1, 100},
	"cold-step-milliseconds":         {1, 600_000},
}
