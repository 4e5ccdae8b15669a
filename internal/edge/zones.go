package edge

import (
	"context"
	"net/http"
	"net/url"
	"slices"
	"strings"
	"time"

	"github.com/labstack/echo/v4"

	"sassafrasring.dev/sassafrasring/internal/proc/evac"
	"sassafrasring.dev/sassafrasring/internal/proc/spread"
	"sassafrasring.dev/sassafrasring/pkg/tier"
)

// ZonesReport is the committed set of evacuated zones and what the answering node knows about zones.
type ZonesReport struct {
	// Committed is the latest set; Problem says why it is missing.
	Committed *evac.Set `json:"committed,omitempty"`
	Problem   string    `json:"problem,omitempty"`
	// InForce is the version at the answering node.
	InForce evac.Version `json:"in_force"`
	Zones   []ZoneCount  `json:"zones"`
}

// ZoneCount is the number of live hosts and servers of a zone.
type ZoneCount struct {
	Zone      tier.Zone `json:"zone"`
	Hosts     int       `json:"hosts"`
	Servers   int       `json:"servers"`
	Evacuated bool      `json:"evacuated"`
}

// TenantReport is a tenant of the routing table in force, without its keys.
type TenantReport struct {
	Name     tier.Tenant `json:"name"`
	Keys     int         `json:"keys"`
	Rate     float64     `json:"rate_per_s"`
	Burst    float64     `json:"burst"`
	Priority *int        `json:"priority,omitempty"`
}

// zoneOps registers the operators' calls about zones and tenants.
func (n *Node) zoneOps(g *echo.Group) {
	g.GET("/evacuations", n.getEvacuations)
	g.POST("/evacuations/:zone", n.orderEvacuation(false))
	g.DELETE("/evacuations/:zone", n.orderEvacuation(true))
	g.GET("/tenants", n.getTenants)
}

// orderEvacuation returns the handler of an order. Author and reason are query parameters.
func (n *Node) orderEvacuation(restore bool) echo.HandlerFunc {
	return func(c echo.Context) error {
		zone, err := url.PathUnescape(c.Param("zone"))
		if err != nil {
			return echo.NewHTTPError(http.StatusBadRequest, err.Error())
		}
		set, err := n.OrderEvacuation(c.Request().Context(), evac.Order{
			Zone: tier.Zone(zone), Restore: restore, Author: tier.Operator(c.QueryParam("author")), Reason: c.QueryParam("reason"),
		})
		if err != nil {
			return echo.NewHTTPError(EvacuationStatus(err), err.Error())
		}
		return c.JSON(http.StatusOK, set)
	}
}

func (n *Node) getEvacuations(c echo.Context) error {
	ctx, cancel := context.WithTimeout(c.Request().Context(), opsTimeout)
	defer cancel()
	out := ZonesReport{InForce: n.evacuations.get().Version, Zones: n.countZones()}
	set, err := n.readEvacuations(ctx)
	if err != nil {
		out.Problem = err.Error()
	} else {
		out.Committed = &set
	}
	return c.JSON(http.StatusOK, out)
}

// countZones counts the live hosts and servers of each zone that has any or is evacuated, sorted by zone.
func (n *Node) countZones() (out []ZoneCount) {
	n.gossip.withState(func(_ time.Duration, s *spread.State) {
		for z, c := range s.CountZones() {
			out = append(out, ZoneCount{Zone: z, Hosts: c.Hosts, Servers: c.Servers, Evacuated: n.evacuations.has(z)})
		}
	})
	set := n.evacuations.get()
	for _, z := range set.Names() {
		if !containsZone(out, z) {
			out = append(out, ZoneCount{Zone: z, Evacuated: true})
		}
	}
	sortZones(out)
	return out
}

// getTenants lists the tenants of the routing table in force; it never contains a key.
func (n *Node) getTenants(c echo.Context) error {
	out := []TenantReport{}
	if t := n.Routes(); t != nil {
		for i := range t.Tenants {
			v := &t.Tenants[i]
			r := TenantReport{Name: v.Name, Keys: len(v.Keys), Rate: v.Rate, Burst: v.Burst}
			if v.HasPriority {
				r.Priority = &v.Priority
			}
			out = append(out, r)
		}
	}
	return c.JSON(http.StatusOK, out)
}

// zoneGauges sets the gauges of evacuated zones and cold servers.
func (n *Node) zoneGauges() {
	set := n.evacuations.get()
	n.Stats.Gauge("zones_evacuated", "", float64(len(set.Zones)))
	n.Stats.Gauge("evacuations_version", "", float64(set.Version))
	n.Stats.Gauge("servers_cold", "", float64(n.cold.count.Load()))
}

func containsZone(list []ZoneCount, z tier.Zone) bool {
	return slices.ContainsFunc(list, func(c ZoneCount) bool { return c.Zone == z })
}

func sortZones(list []ZoneCount) {
	slices.SortFunc(list, func(a, b ZoneCount) int { return strings.Compare(string(a.Zone), string(b.Zone)) })
}
