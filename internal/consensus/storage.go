package consensus

import (
	"go.etcd.io/raft/v3"
	pb "go.etcd.io/raft/v3/raftpb"
)

// retainedEntries is the number of entries before the end of a snapshot that stay in the log. A voter that lags by at
// most this number receives entries. A voter that lags further receives the snapshot, which is larger.
const retainedEntries = 64

// Storage stores the state of a voter. Save and Compact return when the state is as durable as this storage can make
// it. A voter relies on that when it sends messages about the state.
type Storage interface {
	raft.Storage
	// Save stores what raft must keep before its messages are sent. Each argument may be empty. A snapshot replaces
	// the log.
	Save(hard *pb.HardState, entries []*pb.Entry, snapshot *pb.Snapshot) error
	// Compact stores a snapshot of the state at index, and removes entries up to index from the log. It may keep some
	// of them for voters that lag.
	Compact(index uint64, conf *pb.ConfState, data []byte) error
	// Close releases the storage. Its content stays.
	Close() error
	// Destroy closes the storage and removes its content. The voter's raft identity is lost with it.
	Destroy() error
}

// MemoryStorage is a storage that does not survive the process. A voter that loses it also loses its identity.
type MemoryStorage struct{ *raft.MemoryStorage }

// NewMemoryStorage returns an empty storage.
func NewMemoryStorage() MemoryStorage { return MemoryStorage{raft.NewMemoryStorage()} }

// Save implements Storage.
func (m MemoryStorage) Save(hard *pb.HardState, entries []*pb.Entry, snapshot *pb.Snapshot) error {
	if hasSnapshot(snapshot) {
		if err := m.ApplySnapshot(snapshot); err != nil {
			return err
		}
	}
	if err := m.Append(entries); err != nil {
		return err
	}
	if hasHardState(hard) {
		return m.SetHardState(hard)
	}
	return nil
}

// Compact implements Storage.
func (m MemoryStorage) Compact(index uint64, conf *pb.ConfState, data []byte) error {
	if _, err := m.CreateSnapshot(index, conf, data); err != nil {
		return err
	}
	first, err := m.FirstIndex()
	if err != nil || index <= retainedEntries || index-retainedEntries < first {
		return err
	}
	return m.MemoryStorage.Compact(index - retainedEntries)
}

// Close implements Storage.
func (MemoryStorage) Close() error { return nil }

// Destroy implements Storage.
func (MemoryStorage) Destroy() error { return nil }

func hasSnapshot(snapshot *pb.Snapshot) bool { return snapshot.GetMetadata().GetIndex() > 0 }

func hasHardState(hard *pb.HardState) bool { return hard != nil && !raft.IsEmptyHardState(hard) }
