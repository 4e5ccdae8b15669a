package node

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/labstack/echo/v4"

	"sassafrasring.dev/sassafrasring/internal/proc/event"
	"sassafrasring.dev/sassafrasring/internal/reqst"
	"sassafrasring.dev/sassafrasring/internal/vers"
	"sassafrasring.dev/sassafrasring/pkg/tier"
)

const maxServiceNameBytes = 200

func (n *Node) getReady(c echo.Context) error {
	switch reason := n.fleet.RefusalReason(); {
	case reason != tier.ReasonNone:
		return c.String(http.StatusServiceUnavailable, string(reason)+"\n")
	case n.draining.Load():
		return c.String(http.StatusServiceUnavailable, "draining\n")
	}
	return c.String(http.StatusOK, "ready\n")
}

func (n *Node) getMetrics(c echo.Context) error {
	c.Response().Header().Set(echo.HeaderContentType, "text/plain; version=0.0.4")
	return n.Stats.WriteText(c.Response())
}

// getEntries returns the addresses of entries that callers may use. An isolated node
// refuses with 503, because its list may contain nodes that have stopped since.
func (n *Node) getEntries(c echo.Context) error {
	if reason := n.fleet.RefusalReason(); reason == tier.ReasonIsolated {
		return c.String(http.StatusServiceUnavailable, string(reason)+"\n")
	}
	conf := n.fleet.Config()
	list := n.fleet.Addresses(int(conf.Get(vers.KeyEntriesCount)))
	if len(list) == 0 {
		list = []string{n.Settings.Advertise}
	}
	return c.JSON(http.StatusOK, tier.EntriesAnswer{Addresses: list, TTLMs: tier.Millis(conf.Get(vers.KeyEntriesTTL))})
}

// decode reads one JSON value from the body and refuses unknown fields and trailing data.
func decode(c echo.Context, v any) error {
	d := json.NewDecoder(c.Request().Body)
	d.DisallowUnknownFields()
	if err := d.Decode(v); err != nil {
		if status, _ := errorResponse(err); status == http.StatusInternalServerError {
			return echo.NewHTTPError(http.StatusBadRequest, "body: "+err.Error())
		}
		return err
	}
	if _, err := d.Token(); err != io.EOF {
		return echo.NewHTTPError(http.StatusBadRequest, "body: one JSON value is expected")
	}
	return nil
}

func badRequest(text string) error { return echo.NewHTTPError(http.StatusBadRequest, text) }

func (n *Node) postQuery(c echo.Context) error {
	var q tier.QueryRequest
	if err := decode(c, &q); err != nil {
		return err
	}
	if err := n.checkQuery(q); err != nil {
		return err
	}
	account := tier.Account(c.Get(accountKey).(string))
	ans := n.engine.Query(c.Request().Context(), account, q)
	return c.JSON(outcomeStatus(c, ans.Outcome, ans.Reason, ans.RetryAfterMs), ans)
}

func (n *Node) checkQuery(q tier.QueryRequest) error {
	if q.Service == "" || len(q.Service) > maxServiceNameBytes {
		return badRequest("service: 1 to 200 bytes are required")
	}
	if len(q.Body) == 0 {
		return badRequest("body: a JSON value is required")
	}
	if _, ok := q.Class.Rank(); !ok {
		return badRequest("class: urgent, normal or bulk are allowed")
	}
	if q.DeadlineMs < 0 {
		return badRequest("deadline_ms: must not be negative")
	}
	if l := n.fleet.Pin(q.Service); l != nil && len(l.Shards) > n.Settings.Limits.FanOut {
		return badRequest("service: the query would go to more shards than limits.fan_out allows")
	}
	return nil
}

func (n *Node) postWrite(c echo.Context) error {
	var w tier.WriteRequest
	if err := decode(c, &w); err != nil {
		return err
	}
	switch {
	case w.Service == "" || len(w.Service) > maxServiceNameBytes:
		return badRequest("service: 1 to 200 bytes are required")
	case w.Key == "" || len(w.Key) > reqst.MaxKeyBytes:
		return badRequest("key: 1 to " + strconv.Itoa(reqst.MaxKeyBytes) + " bytes are required")
	case len(w.Body) == 0:
		return badRequest("body: a JSON value is required")
	case w.DeadlineMs < 0:
		return badRequest("deadline_ms: must not be negative")
	}
	account := tier.Account(c.Get(accountKey).(string))
	ans := n.engine.Write(c.Request().Context(), account, w)
	return c.JSON(outcomeStatus(c, ans.Outcome, ans.Reason, ans.RetryAfterMs), ans)
}

// outcomeStatus maps an outcome to an HTTP status and sets Retry-After: 200 for done or
// partial, 504 for unknown; for "not run" 409 on a key conflict, 429 at the account limit,
// otherwise 503.
func outcomeStatus(c echo.Context, o tier.Outcome, reason tier.Reason, retryAfter tier.Millis) int {
	if o == tier.Done || o == tier.Partial {
		return http.StatusOK
	}
	if retryAfter > 0 {
		seconds := (retryAfter.Duration() + time.Second - 1) / time.Second
		c.Response().Header().Set("Retry-After", strconv.Itoa(int(seconds)))
	}
	switch {
	case o == tier.Unknown:
		return http.StatusGatewayTimeout
	case reason == tier.ReasonConflict:
		return http.StatusConflict
	case reason == tier.ReasonLimit:
		return http.StatusTooManyRequests
	}
	return http.StatusServiceUnavailable
}

func (n *Node) postAnnounce(c echo.Context) error {
	var a tier.Announcement
	if err := decode(c, &a); err != nil {
		return err
	}
	ans, err := n.Announce(a)
	if err != nil {
		event.AnnouncementRefused.Log(n.Log, err, nil)
		n.Stats.Count("announcements_refused", "content")
		return badRequest(err.Error())
	}
	return c.JSON(http.StatusOK, ans)
}
