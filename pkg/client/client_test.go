package client

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"sassafrasring.dev/sassafrasring/pkg/tier"
)

const testTTL = 60000

// fakeEntry is an entry that returns a fixed list of entries and answers other requests with reply.
type fakeEntry struct {
	*httptest.Server
	entries []string

	mu           sync.Mutex
	listRequests int
	writes       []tier.WriteRequest
	reply        func(n int, w http.ResponseWriter)
}

func newEntry(t testing.TB, reply func(n int, w http.ResponseWriter)) *fakeEntry {
	e := &fakeEntry{reply: reply}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/entries", func(w http.ResponseWriter, _ *http.Request) {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.listRequests++
		_ = json.NewEncoder(w).Encode(tier.EntriesAnswer{Addresses: e.entries, TTLMs: testTTL})
	})
	mux.HandleFunc("POST /", func(w http.ResponseWriter, r *http.Request) {
		e.mu.Lock()
		defer e.mu.Unlock()
		var q tier.WriteRequest
		_ = json.NewDecoder(r.Body).Decode(&q)
		e.writes = append(e.writes, q)
		e.reply(len(e.writes), w)
	})
	e.Server = httptest.NewServer(mux)
	t.Cleanup(e.Close)
	e.entries = []string{e.address()}
	return e
}

func (e *fakeEntry) address() string { return strings.TrimPrefix(e.URL, "http://") }

func done(_ int, w http.ResponseWriter) { _, _ = w.Write([]byte(`{"outcome":"done"}`)) }

// dropFirst closes the connection of the first request without a response.
func dropFirst(n int, w http.ResponseWriter) {
	if n == 1 {
		panic(http.ErrAbortHandler)
	}
	done(n, w)
}

func testContext(t *testing.T) context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	t.Cleanup(cancel)
	return ctx
}

func TestResentWriteClearsFirstSend(t *testing.T) {
	e := newEntry(t, dropFirst)
	c := &Client{Entries: []string{e.address()}}
	a, err := c.Write(testContext(t), tier.WriteRequest{Key: "k", FirstSend: true})
	require.NoError(t, err)
	require.Equal(t, tier.Done, a.Outcome)
	require.Len(t, e.writes, 2)
	require.Equal(t, []bool{true, false}, []bool{e.writes[0].FirstSend, e.writes[1].FirstSend})
	require.Equal(t, e.writes[0].Key, e.writes[1].Key)
}

func TestEntryListIsCached(t *testing.T) {
	e := newEntry(t, done)
	c := &Client{Entries: []string{e.address()}}
	for range 5 {
		_, err := c.Query(testContext(t), tier.QueryRequest{})
		require.NoError(t, err)
	}
	require.Equal(t, 1, e.listRequests)
}

func TestAnotherEntryIsTried(t *testing.T) {
	good, bad := newEntry(t, done), newEntry(t, func(_ int, w http.ResponseWriter) { w.WriteHeader(http.StatusInternalServerError) })
	good.entries = []string{bad.address(), good.address()}
	bad.entries = good.entries
	c := &Client{Entries: []string{bad.address()}}
	for range 4 {
		a, err := c.Query(testContext(t), tier.QueryRequest{})
		require.NoError(t, err)
		require.Equal(t, tier.Done, a.Outcome)
	}
}

func TestFinalErrorsAreNotRetried(t *testing.T) {
	e := newEntry(t, func(_ int, w http.ResponseWriter) { http.Error(w, "wrong", http.StatusUnauthorized) })
	c := &Client{Entries: []string{e.address()}}
	_, err := c.Query(testContext(t), tier.QueryRequest{})
	var se *StatusError
	require.ErrorAs(t, err, &se)
	require.Equal(t, http.StatusUnauthorized, se.Status)
	require.Len(t, e.writes, 1)
}

// TestEmptyListIsAnError requests the list of an entry that returns an empty one.
func TestEmptyListIsAnError(t *testing.T) {
	e := newEntry(t, done)
	e.entries = nil
	c := &Client{Entries: []string{e.address()}}
	_, err := c.Addresses(testContext(t))
	require.ErrorIs(t, err, ErrNoEntry)
}

func ExampleClient_Query() {
	entry := newEntry(&testing.B{}, func(_ int, w http.ResponseWriter) {
		_, _ = w.Write([]byte(`{"outcome":"partial","snapshot":{"version":7,"shards":2},"shards":[{"shard":0}],"missing":[{"shard":1,"reason":"no_server"}]}`))
	})
	defer entry.Close()
	c := &Client{Entries: []string{entry.address()}, Name: "desk", Secret: "secret"}
	a, err := c.Query(context.Background(), tier.QueryRequest{Service: "fitter-app", Body: json.RawMessage(`{"profile":"D-12"}`)})
	fmt.Println(a.Outcome, len(a.Shards), a.Missing[0].Reason, err)
	// Output: partial 1 no_server <nil>
}

// TestAnswerHoldsNothingOfAnEarlierResponse has an entry answer first by a response of which a part cannot be decoded, and then by
// a whole one with fewer fields.
func TestAnswerHoldsNothingOfAnEarlierResponse(t *testing.T) {
	e := newEntry(t, func(n int, w http.ResponseWriter) {
		if n == 1 {
			_, _ = fmt.Fprint(w, `{"request_id":"first","outcome":"partial","reason":"deadline","server":"s1","data":"first","retry_after_ms":7,
				"shards":[{"shard":1,"server":"s1","data":"first"}],"missing":[{"shard":"wrong"}],"replayed":"wrong"}`)
			return
		}
		_, _ = fmt.Fprint(w, `{"request_id":"second","outcome":"done"}`)
	})
	c := &Client{Entries: []string{e.address()}}
	q, err := c.Query(testContext(t), tier.QueryRequest{})
	require.NoError(t, err)
	require.Equal(t, tier.QueryAnswer{RequestID: "second", Outcome: tier.Done}, q)

	e.writes = nil
	w, err := c.Write(testContext(t), tier.WriteRequest{Key: "k"})
	require.NoError(t, err)
	require.Equal(t, tier.WriteAnswer{RequestID: "second", Outcome: tier.Done}, w)
}
