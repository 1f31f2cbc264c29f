package gwconfig

// Bounds gives the published schema's test the least and the greatest value of each limit.
var Bounds = bounds

// MaxSegment and MaxRate are bounds in the published schema.
const (
	MaxSegment = maxSegment
	MaxRate    = maxRate
)

// Patterns gives the published schema's test the patterns that the checks use.
var Patterns = map[string]string{
	"name": namePattern.String(), "host": hostPattern.String(), "path-prefix": prefixPattern.String(),
	"key-digest": digestPattern.String(),
}

// Methods are the methods that a route may repeat.
var Methods = methods
