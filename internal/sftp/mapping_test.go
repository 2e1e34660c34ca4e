package sftp

import (
	"testing"

	"junctionwharf/broker"
)

// A path under two prefixes belongs to the volume with the longer prefix. For a path outside all prefixes there is no
// request. The number of units follows from the number of bytes, from 1 up to the maximum of a request.
func TestRequestsGetVolumeAndUnitsOfTheirPath(t *testing.T) {
	m := testMapping(t)
	for _, test := range []struct {
		op     operation
		volume string // empty for none
		units  float64
		write  bool
	}{
		{operation{command: Read, path: "/d/f", length: 25}, "v", 3, false},
		{operation{command: Write, path: "/d/deep/f", data: make([]byte, 500)}, "w", 8, true},
		{operation{command: Stat, path: "/d"}, "v", 1, false},
		{operation{command: Remove, path: "/deep/f"}, "", 0, false},
		{operation{command: List, path: "/dx"}, "", 0, false},
	} {
		request := m.request(&test.op)
		if request == nil {
			if test.volume != "" {
				t.Errorf("no request for %s, want one for volume %q", test.op.path, test.volume)
			}
			continue
		}
		if request.Volume != test.volume || request.Units != test.units || request.Write != test.write ||
			request.Timeout != 2*broker.Second || len(request.Key) != 16 {
			t.Errorf("request %+v, want volume %q, %v units, write %v", request, test.volume, test.units, test.write)
		}
	}
}

// Commands on one file keep their order only if a different order could change their results.
func TestConflictingOperationsKeepTheirOrder(t *testing.T) {
	read := func(at uint64) *operation { return &operation{command: Read, path: "/d/f", offset: at, length: 10} }
	write := func(at uint64) *operation {
		return &operation{command: Write, path: "/d/f", offset: at, data: make([]byte, 10)}
	}
	remove := &operation{command: Remove, path: "/d/f"}
	removeOther := &operation{command: Remove, path: "/d/g"}
	appending := &operation{command: Write, path: "/d/f", flags: flagAppend, data: make([]byte, 1)}
	for _, test := range []struct {
		name string
		a, b *operation
		want bool
	}{
		{"two reads", read(0), read(5), false},
		{"a write and a read of the same range", write(0), read(5), true},
		{"writes that overlap", write(0), write(9), true},
		{"writes side by side", write(0), write(10), false},
		{"another file", write(0), removeOther, false},
		{"a removal", remove, read(900), true},
		{"an append", appending, write(100), true},
		{"the end of the largest file", write(1<<64 - 5), read(1<<64 - 3), true},
	} {
		t.Run(test.name, func(t *testing.T) {
			if test.a.conflicts(test.b) != test.want || test.b.conflicts(test.a) != test.want {
				t.Errorf("conflicts must return %v in both directions", test.want)
			}
		})
	}
}
