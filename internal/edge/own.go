package edge

import (
	"net/http"

	"github.com/labstack/echo/v4"

	"sassafrasring.dev/sassafrasring/internal/proc/lease"
	"sassafrasring.dev/sassafrasring/internal/proc/spread"
	"sassafrasring.dev/sassafrasring/pkg/tier"
)

// maxAnnouncementBytes bounds an announcement with the most holdings.
const maxAnnouncementBytes = 64 << 10

// StandardListeners returns the HTTP interfaces of a node that runs without a platform: one address
// for callers, another for servers and operators.
func (n *Node) StandardListeners(callers, control string) []Listener {
	e := echo.New()
	e.HideBanner, e.HidePort = true, true
	e.GET("/healthz", func(c echo.Context) error { return c.String(http.StatusOK, "ok\n") })
	e.GET("/readyz", n.getReady)
	e.GET("/metrics", n.Metrics)
	e.GET("/v1/entries", n.getEntries)
	e.POST("/v1/announce", n.postAnnounce)
	n.Ops(e.Group("/v1/ops"))
	return []Listener{{Address: callers, Handler: n}, {Address: control, Handler: e, Use: UseControl}}
}

func (n *Node) getReady(c echo.Context) error {
	if !n.Ready() {
		return c.String(http.StatusServiceUnavailable, "not ready\n")
	}
	return c.String(http.StatusOK, "ready\n")
}

// getEntries returns the nodes that callers should use; the caller's zone and region are query
// parameters.
func (n *Node) getEntries(c echo.Context) error {
	list, ttl := n.Entries(tier.Zone(c.QueryParam("zone")), tier.Region(c.QueryParam("region")))
	return c.JSON(http.StatusOK, tier.EntriesAnswer{Addresses: append([]string{}, list...), TTLMs: tier.ToMillis(ttl)})
}

// postAnnounce handles a server's announcement.
func (n *Node) postAnnounce(c echo.Context) error {
	var a tier.Announcement
	c.Request().Body = http.MaxBytesReader(c.Response(), c.Request().Body, maxAnnouncementBytes)
	if err := c.Bind(&a); err != nil {
		return n.refuseAnnouncement(c, "", err)
	}
	if err := lease.Check(a); err != nil {
		return n.refuseAnnouncement(c, a.Server, err)
	}
	r := spread.Server{ID: a.Server, Born: a.BornMs, Seq: a.Sequence, Service: a.Service, Address: a.Address, Zone: a.Zone, Slots: a.Slots, ColdMs: a.ColdMs}
	if a.Draining {
		r.State = spread.ServerDraining
	}
	address, err := n.Announce(c.Request().Context(), r)
	if err != nil {
		return n.refuseAnnouncement(c, a.Server, err)
	}
	ans := tier.AnnounceAnswer{LeaseMs: tier.ToMillis(leaseIntervals * n.Settings.AnnounceInterval)}
	if address != "" {
		ans.Addresses = []string{address}
	}
	return c.JSON(http.StatusOK, ans)
}

func (n *Node) refuseAnnouncement(c echo.Context, id tier.ServerID, err error) error {
	n.AnnouncementRefused(c.RealIP(), id, err)
	return echo.NewHTTPError(http.StatusBadRequest, err.Error())
}
