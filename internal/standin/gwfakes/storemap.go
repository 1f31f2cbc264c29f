package gwfakes

import (
	"errors"
	"slices"
	"strings"
	"time"

	"github.com/google/uuid"

	gw "github.com/geraniumworks/geraniumworks"
)

// ErrNoLease reports a lease that does not exist or has expired.
var ErrNoLease = errors.New("no such lease")

// StoreMap is the state of the store stand-in: a map with compare-and-swap and leases. It has no clock; the
// time is passed in and must not decrease. It is not safe for concurrent use.
//
// Versions count the writes to the whole store, so that a key that was deleted with its lease and written
// again never has a version twice.
type StoreMap struct {
	writes gw.StoreVersion
	values map[string]mapValue
	leases map[string]time.Time
}

type mapValue struct {
	version gw.StoreVersion
	data    []byte
	lease   string
}

// NewStoreMap returns an empty map.
func NewStoreMap() *StoreMap {
	return &StoreMap{values: map[string]mapValue{}, leases: map[string]time.Time{}}
}

// Get returns the value under key, or gw.ErrNotFound.
func (m *StoreMap) Get(now time.Time, key string) (gw.StoredValue, error) {
	m.expire(now)
	v, ok := m.values[key]
	if !ok {
		return gw.StoredValue{}, gw.ErrNotFound
	}
	return gw.StoredValue{Key: key, Version: v.version, Data: v.data}, nil
}

// List returns the values whose key starts with prefix, ordered by key.
func (m *StoreMap) List(now time.Time, prefix string) []gw.StoredValue {
	m.expire(now)
	values := []gw.StoredValue{}
	for key, v := range m.values {
		if strings.HasPrefix(key, prefix) {
			values = append(values, gw.StoredValue{Key: key, Version: v.version, Data: v.data})
		}
	}
	slices.SortFunc(values, func(a, b gw.StoredValue) int { return strings.Compare(a.Key, b.Key) })
	return values
}

// CompareAndSwap writes data under key if its version is expected, zero meaning that the key does not exist.
// With a lease, the key is deleted when the lease ends. It returns the new version, or gw.ErrConflict,
// gw.ErrValueTooLarge or ErrNoLease.
func (m *StoreMap) CompareAndSwap(
	now time.Time, key string, expected gw.StoreVersion, data []byte, lease string,
) (gw.StoreVersion, error) {
	m.expire(now)
	if len(data) > gw.MaxValueBytes {
		return 0, gw.ErrValueTooLarge
	}
	if _, ok := m.leases[lease]; lease != "" && !ok {
		return 0, ErrNoLease
	}
	if m.values[key].version != expected {
		return 0, gw.ErrConflict
	}
	m.writes++
	m.values[key] = mapValue{version: m.writes, data: data, lease: lease}
	return m.writes, nil
}

// OpenLease starts a lease that ends after ttl unless it is renewed, and returns its id.
func (m *StoreMap) OpenLease(now time.Time, ttl time.Duration) string {
	m.expire(now)
	id := uuid.NewString()
	m.leases[id] = now.Add(ttl)
	return id
}

// RenewLease makes the lease end after ttl from now, or returns ErrNoLease.
func (m *StoreMap) RenewLease(now time.Time, id string, ttl time.Duration) error {
	m.expire(now)
	if _, ok := m.leases[id]; !ok {
		return ErrNoLease
	}
	m.leases[id] = now.Add(ttl)
	return nil
}

// CloseLease ends the lease and deletes its keys, or returns ErrNoLease.
func (m *StoreMap) CloseLease(now time.Time, id string) error {
	m.expire(now)
	if _, ok := m.leases[id]; !ok {
		return ErrNoLease
	}
	m.endLease(id)
	return nil
}

// expire ends the leases whose time is over. It runs first in every operation, so no timer is needed: nobody
// can observe an expired key in between.
func (m *StoreMap) expire(now time.Time) {
	for id, end := range m.leases {
		if !now.Before(end) {
			m.endLease(id)
		}
	}
}

func (m *StoreMap) endLease(id string) {
	delete(m.leases, id)
	for key, v := range m.values {
		if v.lease == id {
			delete(m.values, key)
		}
	}
}
