package consensus

import (
	"maps"
	"math/rand/v2"
	"slices"

	"github.com/vmihailenco/msgpack/v5"
	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"junctionwharf/clusterconfig"
)

// Term and index of the snapshot with which each voter of a new cluster starts.
const (
	bootstrapTerm  = 1
	bootstrapIndex = 1
)

// RandomID draws a raft identity. It is never 0, which stands for no voter in raft, and it fits a signed integer.
func RandomID(random *rand.Rand) uint64 { return random.Uint64()>>1 | 1 }

// Bootstrap writes the initial state of a new cluster to an empty storage. It must be called for each voter, with the
// same epoch and members.
func Bootstrap(s Storage, epoch uint64, members map[string]uint64) error {
	data, err := msgpack.Marshal(clusterconfig.NewState(epoch, members))
	if err != nil {
		return err
	}
	hard := &pb.HardState{Term: proto.Uint64(bootstrapTerm), Commit: proto.Uint64(bootstrapIndex)}
	return s.Save(hard, nil, &pb.Snapshot{
		Data: data,
		Metadata: &pb.SnapshotMetadata{
			Index:     proto.Uint64(bootstrapIndex),
			Term:      proto.Uint64(bootstrapTerm),
			ConfState: &pb.ConfState{Voters: slices.Sorted(maps.Values(members))},
		},
	})
}
