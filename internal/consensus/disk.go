package consensus

import (
	"encoding/binary"
	"errors"
	"fmt"
	"math"
	"os"
	"time"

	"go.etcd.io/bbolt"
	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"
)

// Names in the bbolt file. The key of an entry in the log bucket is its index in eight bytes, big-endian.
const (
	metaBucket  = "meta"
	logBucket   = "log"
	idKey       = "id"       // raft identity, in eight bytes, big-endian
	hardKey     = "hard"     // raft's hard state
	snapshotKey = "snapshot" // raft's snapshot
)

const (
	filePermission = 0o600
	// lockTimeout is how long a start waits for another process to release the file. A predecessor that is shutting
	// down releases the file within this time. With a longer timeout, a second broker on the same directory would
	// hang instead of fail.
	lockTimeout = 2 * time.Second
	idBytes     = 8
)

// DiskStorage is a storage in a bbolt file, with a copy in memory that raft reads. Each change of the file is one
// transaction. If the process or the machine fails at any byte of the write, the file has either its previous content
// or the complete change.
type DiskStorage struct {
	MemoryStorage
	db *bbolt.DB
}

// OpenDisk opens or creates a file and returns the raft identity stored in it. newID draws the identity of a new file.
// If another process has the file open, OpenDisk waits up to lockTimeout.
func OpenDisk(path string, newID func() uint64) (d *DiskStorage, id uint64, err error) {
	db, err := bbolt.Open(path, filePermission, &bbolt.Options{Timeout: lockTimeout})
	if err != nil {
		return nil, 0, fmt.Errorf("%s: %w", path, err)
	}
	d = &DiskStorage{NewMemoryStorage(), db}
	id, err = d.initialize(newID)
	if err == nil {
		err = d.load()
	}
	if err != nil {
		_ = db.Close() // no transaction is open, so closing loses nothing
		return nil, 0, fmt.Errorf("%s: %w", path, err)
	}
	return d, id, nil
}

// initialize creates the buckets and the identity that the file lacks, and returns the identity.
func (d *DiskStorage) initialize(newID func() uint64) (id uint64, err error) {
	err = d.db.Update(func(tx *bbolt.Tx) error {
		meta, err := tx.CreateBucketIfNotExists([]byte(metaBucket))
		if err != nil {
			return err
		}
		if _, err := tx.CreateBucketIfNotExists([]byte(logBucket)); err != nil {
			return err
		}
		if data := meta.Get([]byte(idKey)); len(data) == idBytes {
			id = binary.BigEndian.Uint64(data)
			return nil
		}
		id = newID()
		return meta.Put([]byte(idKey), encodeUint64(id))
	})
	return id, err
}

// load copies the content of the file into memory.
func (d *DiskStorage) load() error {
	return d.db.View(func(tx *bbolt.Tx) error {
		meta := tx.Bucket([]byte(metaBucket))
		var snapshot pb.Snapshot
		var hard pb.HardState
		if err := proto.Unmarshal(meta.Get([]byte(snapshotKey)), &snapshot); err != nil {
			return err
		}
		if err := proto.Unmarshal(meta.Get([]byte(hardKey)), &hard); err != nil {
			return err
		}
		var entries []*pb.Entry
		err := tx.Bucket([]byte(logBucket)).ForEach(func(_, data []byte) error {
			var e pb.Entry
			if err := proto.Unmarshal(data, &e); err != nil {
				return err
			}
			if e.GetIndex() > snapshot.GetMetadata().GetIndex() {
				entries = append(entries, &e)
			}
			return nil
		})
		if err != nil {
			return err
		}
		return d.MemoryStorage.Save(&hard, entries, &snapshot)
	})
}

// Save implements Storage.
func (d *DiskStorage) Save(hard *pb.HardState, entries []*pb.Entry, snapshot *pb.Snapshot) error {
	if !hasSnapshot(snapshot) && !hasHardState(hard) && len(entries) == 0 {
		return nil
	}
	err := d.db.Update(func(tx *bbolt.Tx) error { return save(tx, hard, entries, snapshot) })
	if err != nil {
		return err
	}
	return d.MemoryStorage.Save(hard, entries, snapshot)
}

func save(tx *bbolt.Tx, hard *pb.HardState, entries []*pb.Entry, snapshot *pb.Snapshot) error {
	meta, log := tx.Bucket([]byte(metaBucket)), tx.Bucket([]byte(logBucket))
	if hasSnapshot(snapshot) {
		err := errors.Join(put(meta, []byte(snapshotKey), snapshot), deleteEntries(log, 0, math.MaxUint64))
		if err != nil {
			return err
		}
	}
	if hasHardState(hard) {
		if err := put(meta, []byte(hardKey), hard); err != nil {
			return err
		}
	}
	if len(entries) == 0 {
		return nil
	}
	// The new entries replace all stored entries from the first new index on, which an earlier leader wrote.
	if err := deleteEntries(log, entries[0].GetIndex(), math.MaxUint64); err != nil {
		return err
	}
	for _, e := range entries {
		if err := put(log, encodeUint64(e.GetIndex()), e); err != nil {
			return err
		}
	}
	return nil
}

// Compact implements Storage.
func (d *DiskStorage) Compact(index uint64, conf *pb.ConfState, data []byte) error {
	if err := d.MemoryStorage.Compact(index, conf, data); err != nil {
		return err
	}
	snapshot, err := d.Snapshot()
	if err != nil {
		return err
	}
	first, err := d.FirstIndex()
	if err != nil {
		return err
	}
	return d.db.Update(func(tx *bbolt.Tx) error {
		meta, log := tx.Bucket([]byte(metaBucket)), tx.Bucket([]byte(logBucket))
		return errors.Join(put(meta, []byte(snapshotKey), snapshot), deleteEntries(log, 0, first))
	})
}

// Close implements Storage.
func (d *DiskStorage) Close() error { return d.db.Close() }

// Destroy implements Storage. It removes the file.
func (d *DiskStorage) Destroy() error { return errors.Join(d.Close(), os.Remove(d.db.Path())) }

func put(bucket *bbolt.Bucket, key []byte, m proto.Message) error {
	data, err := proto.Marshal(m)
	if err != nil {
		return err
	}
	return bucket.Put(key, data)
}

// deleteEntries deletes the entries with from <= index < before.
func deleteEntries(log *bbolt.Bucket, from, before uint64) error {
	var keys [][]byte // collected first, because deleting during the iteration would make the cursor lose its position
	cursor := log.Cursor()
	for key, _ := cursor.Seek(encodeUint64(from)); key != nil; key, _ = cursor.Next() {
		if binary.BigEndian.Uint64(key) >= before {
			break
		}
		keys = append(keys, key)
	}
	for _, key := range keys {
		if err := log.Delete(key); err != nil {
			return err
		}
	}
	return nil
}

func encodeUint64(n uint64) []byte { return binary.BigEndian.AppendUint64(nil, n) }
