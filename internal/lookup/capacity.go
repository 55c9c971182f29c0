package lookup

import "math"

const (
	// linkMbpsPerCore is the link bandwidth that an instance of one core needs to carry what
	// its processor can: it transfers a download of half a megabyte in about a tenth of a
	// second.
	linkMbpsPerCore = 50.0
	// memoryBytesPerCore is the memory that an instance of one core needs to hold the
	// requests that its processor can serve. It is what an instance without a limit is
	// assumed to have.
	memoryBytesPerCore = 512 << 20
	// MaxCapacity is the largest capacity of an instance, in cores.
	MaxCapacity = 1e6
)

// Resources are what an instance may use. 0 means that it is not known.
type Resources struct {
	Processor   float64 // cores
	LinkMbps    float64
	MemoryBytes int64
}

// Capacity returns how much an instance can carry, in cores: what the scarcest of its
// resources allows, at most MaxCapacity. An unknown processor counts as one core; an
// unknown link or memory does not limit.
func (r Resources) Capacity() float64 {
	capacity := 1.0
	if r.Processor > 0 {
		capacity = r.Processor
	}
	if r.LinkMbps > 0 {
		capacity = min(capacity, r.LinkMbps/linkMbpsPerCore)
	}
	if r.MemoryBytes > 0 {
		capacity = min(capacity, float64(r.MemoryBytes)/memoryBytesPerCore)
	}
	return math.Min(capacity, MaxCapacity)
}
