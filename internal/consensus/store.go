package consensus

import (
	"encoding/binary"
	"errors"
	"fmt"
	"os"
	"time"

	"go.etcd.io/bbolt"
	"go.etcd.io/raft/v3"
	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"
)

// Memory is a storage that does not last: who loses it loses its identity.
type Memory struct{ *raft.MemoryStorage }

// NewMemory returns an empty one.
func NewMemory() Memory { return Memory{raft.NewMemoryStorage()} }

// Close implements Storage.
func (Memory) Close() error { return nil }

// Forget implements Storage.
func (Memory) Forget() error { return nil }

// Save implements Storage.
func (m Memory) Save(hard *pb.HardState, entries []*pb.Entry, snap *pb.Snapshot) error {
	if snap.GetMetadata().GetIndex() > 0 {
		if err := m.ApplySnapshot(snap); err != nil {
			return err
		}
	}
	if err := m.Append(entries); err != nil {
		return err
	}
	if hard != nil && !raft.IsEmptyHardState(hard) {
		return m.SetHardState(hard)
	}
	return nil
}

// Compact implements Storage.
func (m Memory) Compact(index uint64, conf *pb.ConfState, data []byte) error {
	if _, err := m.CreateSnapshot(index, conf, data); err != nil {
		return err
	}
	if first, err := m.FirstIndex(); err != nil || index <= keepEntries || index-keepEntries < first {
		return err
	}
	return m.MemoryStorage.Compact(index - keepEntries)
}

// Disk is a storage in a file, with a copy in memory to read from. Each change is one transaction: after a crash at any byte of
// it the file holds what it held before, or all of it.
type Disk struct {
	Memory
	db *bbolt.DB
}

var (
	metaBucket = []byte("meta")
	logBucket  = []byte("log")
	keyID      = []byte("id")
	keyHard    = []byte("hard")
	keySnap    = []byte("snapshot")
)

const openWait = 2 * time.Second // for another process to let go of the file

// Open opens a file or makes one. draw gives a new file its identity.
func Open(path string, draw func() uint64) (d *Disk, id uint64, err error) {
	db, err := bbolt.Open(path, 0o600, &bbolt.Options{Timeout: openWait})
	if err != nil {
		return nil, 0, fmt.Errorf("%s: %w", path, err)
	}
	d = &Disk{NewMemory(), db}
	defer func() {
		if err != nil {
			db.Close()
			err = fmt.Errorf("%s: %w", path, err)
		}
	}()
	err = db.Update(func(tx *bbolt.Tx) error {
		meta, err := tx.CreateBucketIfNotExists(metaBucket)
		if err != nil {
			return err
		}
		if _, err := tx.CreateBucketIfNotExists(logBucket); err != nil {
			return err
		}
		if text := meta.Get(keyID); len(text) == 8 {
			id = binary.BigEndian.Uint64(text)
			return nil
		}
		id = draw()
		return meta.Put(keyID, number(id))
	})
	if err != nil {
		return nil, 0, err
	}
	return d, id, db.View(func(tx *bbolt.Tx) error {
		meta := tx.Bucket(metaBucket)
		var snap pb.Snapshot
		var hard pb.HardState
		if err := proto.Unmarshal(meta.Get(keySnap), &snap); err != nil {
			return err
		}
		if err := proto.Unmarshal(meta.Get(keyHard), &hard); err != nil {
			return err
		}
		var entries []*pb.Entry
		err := tx.Bucket(logBucket).ForEach(func(_, text []byte) error {
			var e pb.Entry
			if err := proto.Unmarshal(text, &e); err != nil {
				return err
			}
			if e.GetIndex() > snap.GetMetadata().GetIndex() {
				entries = append(entries, &e)
			}
			return nil
		})
		if err != nil {
			return err
		}
		return d.Memory.Save(&hard, entries, &snap)
	})
}

func number(n uint64) []byte { return binary.BigEndian.AppendUint64(nil, n) }

// Save implements Storage.
func (d *Disk) Save(hard *pb.HardState, entries []*pb.Entry, snap *pb.Snapshot) error {
	isSnap, isHard := snap.GetMetadata().GetIndex() > 0, hard != nil && !raft.IsEmptyHardState(hard)
	if !isSnap && !isHard && len(entries) == 0 {
		return nil
	}
	err := d.db.Update(func(tx *bbolt.Tx) error {
		meta, log := tx.Bucket(metaBucket), tx.Bucket(logBucket)
		if isSnap {
			if err := errors.Join(put(meta, keySnap, snap), drop(log, 0, ^uint64(0))); err != nil {
				return err
			}
		}
		if isHard {
			if err := put(meta, keyHard, hard); err != nil {
				return err
			}
		}
		if len(entries) > 0 { // what a newer leader overwrites goes
			if err := drop(log, entries[0].GetIndex(), ^uint64(0)); err != nil {
				return err
			}
		}
		for _, e := range entries {
			if err := put(log, number(e.GetIndex()), e); err != nil {
				return err
			}
		}
		return nil
	})
	if err != nil {
		return err
	}
	return d.Memory.Save(hard, entries, snap)
}

func put(to *bbolt.Bucket, key []byte, m proto.Message) error {
	text, err := proto.Marshal(m)
	if err != nil {
		return err
	}
	return to.Put(key, text)
}

// drop deletes entries from an index on, below another.
func drop(log *bbolt.Bucket, from, below uint64) error {
	var keys [][]byte // a cursor that deletes loses its place
	c := log.Cursor()
	for k, _ := c.Seek(number(from)); k != nil && binary.BigEndian.Uint64(k) < below; k, _ = c.Next() {
		keys = append(keys, k)
	}
	for _, k := range keys {
		if err := log.Delete(k); err != nil {
			return err
		}
	}
	return nil
}

// Compact implements Storage.
func (d *Disk) Compact(index uint64, conf *pb.ConfState, data []byte) error {
	if err := d.Memory.Compact(index, conf, data); err != nil {
		return err
	}
	snap, err := d.Snapshot()
	if err != nil {
		return err
	}
	first, err := d.FirstIndex()
	if err != nil {
		return err
	}
	return d.db.Update(func(tx *bbolt.Tx) error {
		return errors.Join(put(tx.Bucket(metaBucket), keySnap, snap), drop(tx.Bucket(logBucket), 0, first))
	})
}

// Close implements Storage: it lets go of the file.
func (d *Disk) Close() error { return d.db.Close() }

// Forget implements Storage: it removes the file.
func (d *Disk) Forget() error { return errors.Join(d.Close(), os.Remove(d.db.Path())) }
