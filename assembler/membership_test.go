package assembler_test

import (
	"fmt"
	"net/http"
	"sync"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against a reservation that runs twice or an answer that differs when a request
// is retried with the same key through other instances, concurrently and after
// instances left.
func TestKeysHoldOverInstances(t *testing.T) {
	f := newFleet(t)
	_, stopFirst := f.start("a", "dc-1")
	f.start("b", "dc-1")
	f.start("c", "dc-2")
	f.eventually("all instances know each other", func() bool {
		for _, i := range f.instances {
			if i.Status().Members != 3 {
				return false
			}
		}
		return true
	})
	reserve := func(instance, key int) answer {
		return f.send(f.instances[instance], http.MethodPost, "/tables/reservations", fmt.Sprintf(`{"guest":%d}`, key),
			"Authorization", acmeKey, "Idempotency-Key", fmt.Sprint("key-", key))
	}
	const keys = 20
	var group sync.WaitGroup
	for key := range keys {
		for instance := range f.instances {
			group.Go(func() {
				a := reserve(instance, key)
				// A concurrent claim may be in progress or fail; no other error is allowed.
				assert.Check(t, a.status == http.StatusCreated || a.code() == "in-progress" || a.code() == "claim-failed", a.body)
			})
		}
	}
	group.Wait()
	first := map[int]string{}
	for key := range keys {
		f.eventually("an answer for the key", func() bool {
			a := reserve(key%3, key)
			first[key] = a.body
			return a.status == http.StatusCreated
		})
	}
	assert.Equal(t, len(f.booking.Reservations()), keys)
	stopFirst()
	for key := range keys {
		a := reserve(1+key%2, key)
		assert.Equal(t, a.status, http.StatusCreated, a.body)
		assert.Equal(t, a.body, first[key])
	}
	assert.Equal(t, len(f.booking.Reservations()), keys)
}
