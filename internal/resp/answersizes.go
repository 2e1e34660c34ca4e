package resp

import "sync"

const (
	// minExpectedBytes is the smallest size in bytes that is expected of an answer.
	minExpectedBytes = smallBytes
	// sizeDecay is the inverse of the part by which the expected size of a class shrinks with each smaller answer. With
	// a larger value, memory would stay reserved for longer after a class's answers became smaller. With a smaller
	// value, a class with few large answers would often have less memory than it needs.
	sizeDecay = 16
)

// answerSizes estimates the size of the next answer of each class from the answers so far. Its methods may be called
// from any goroutine.
type answerSizes struct {
	mu       sync.Mutex
	expected map[string]int // in bytes, by class; only classes that the settings name
}

func newAnswerSizes() *answerSizes { return &answerSizes{expected: map[string]int{}} }

// expect returns the expected size in bytes of an answer to a request of a class.
func (a *answerSizes) expect(class string) int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return max(minExpectedBytes, a.expected[class])
}

// record records the size in bytes of a value of a class. The estimate grows at once and shrinks slowly.
func (a *answerSizes) record(class string, size int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	before := a.expected[class]
	a.expected[class] = max(size, before-before/sizeDecay)
}
