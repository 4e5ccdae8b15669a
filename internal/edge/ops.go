package edge

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/labstack/echo/v4"

	"sassafrasring.dev/sassafrasring/internal/proc/ctrl"
	"sassafrasring.dev/sassafrasring/internal/proc/evac"
	"sassafrasring.dev/sassafrasring/internal/proc/event"
	"sassafrasring.dev/sassafrasring/internal/proc/spread"
	"sassafrasring.dev/sassafrasring/internal/vers"
	"sassafrasring.dev/sassafrasring/pkg/tier"
)

// opsTimeout bounds the processing of an operator's request.
const opsTimeout = 3 * time.Second

// Status is a node's report to operators: its own state and its view of the fleet.
type Status struct {
	Node     tier.NodeID        `json:"node"`
	Name     string             `json:"name"`
	Boot     uint64             `json:"boot"`
	Ready    bool               `json:"ready"`
	Stopping bool               `json:"stopping"`
	Open     int64              `json:"open"`
	Routes   vers.RoutesVersion `json:"routes"`
	Hosts    []spread.Host      `json:"hosts"`
	Servers  []spread.Server    `json:"servers"`
	// Control is the leader's report on the control group; Problem says why it is missing.
	Control *ctrl.Status `json:"control,omitempty"`
	Problem string       `json:"problem,omitempty"`
	// Evacuations is the set of evacuated zones in force at this node.
	Evacuations evac.Set `json:"evacuations"`
	// Proof and Quota are nil where nothing needs them. Admitted holds the share of the most urgent searches that is admitted, by
	// the first of their services, if it is below 1.
	Proof    *ProofStatus             `json:"proof,omitempty"`
	Quota    *QuotaStatus             `json:"quota,omitempty"`
	Admitted map[tier.Service]float64 `json:"admitted,omitempty"`
}

// RoutesRevision is one routing table of the history.
type RoutesRevision struct {
	Version  vers.RoutesVersion `json:"version"`
	Author   tier.Operator      `json:"author"`
	Reason   string             `json:"reason"`
	AtMs     int64              `json:"at_ms"`
	Document string             `json:"document"`
}

// Ops registers the handlers of the operator API in a group of paths.
func (n *Node) Ops(g *echo.Group) {
	g.GET("/status", n.getStatus)
	g.GET("/routes", n.getRoutes)
	g.PUT("/routes", n.putRoutes)
	g.GET("/routes/history", n.getRoutesHistory)
	g.GET("/metrics", n.Metrics)
	n.zoneOps(g)
}

func (n *Node) getStatus(c echo.Context) error {
	s := Status{
		Node: n.Settings.ID, Name: n.Settings.Name, Boot: n.boot, Ready: n.Ready(), Stopping: n.Stopping(), Open: n.forwarder.Open(),
		Routes: n.routesVersion(), Hosts: n.gossip.list(), Evacuations: n.evacuations.get(),
		Proof: n.proofStatus(), Quota: n.quotaStatus(), Admitted: n.forwarder.Admitted(),
	}
	n.gossip.withState(func(_ time.Duration, st *spread.State) { s.Servers = st.Servers() })
	ctx, cancel := context.WithTimeout(c.Request().Context(), opsTimeout)
	defer cancel()
	rep, err := n.callLeader(ctx, controlRequest{Status: true})
	if err != nil {
		s.Problem = err.Error()
	}
	s.Control = rep.Status
	return c.JSON(http.StatusOK, s)
}

func (n *Node) getRoutes(c echo.Context) error {
	ctx, cancel := context.WithTimeout(c.Request().Context(), opsTimeout)
	defer cancel()
	version, doc, err := n.ReadRoutes(ctx)
	if err != nil {
		return echo.NewHTTPError(http.StatusServiceUnavailable, err.Error())
	}
	c.Response().Header().Set("X-Routes-Version", strconv.FormatUint(uint64(version), 10))
	return c.JSONBlob(http.StatusOK, doc)
}

// putRoutes applies a routing table in the format that the node decodes. Author and reason are
// query parameters.
func (n *Node) putRoutes(c echo.Context) error {
	doc, err := ReadDocument(c.Request().Body)
	if err != nil {
		return echo.NewHTTPError(http.StatusBadRequest, err.Error())
	}
	ctx, cancel := context.WithTimeout(c.Request().Context(), opsTimeout)
	defer cancel()
	version, err := n.ApplyRoutes(ctx, doc, tier.Operator(c.QueryParam("author")), c.QueryParam("reason"))
	if err != nil {
		return echo.NewHTTPError(RoutesStatus(err), err.Error())
	}
	return c.JSON(http.StatusOK, map[string]vers.RoutesVersion{"version": version})
}

func (n *Node) getRoutesHistory(c echo.Context) error {
	ctx, cancel := context.WithTimeout(c.Request().Context(), opsTimeout)
	defer cancel()
	rep, err := n.callLeader(ctx, controlRequest{History: true})
	if err != nil {
		return echo.NewHTTPError(http.StatusServiceUnavailable, err.Error())
	}
	out := make([]RoutesRevision, 0, len(rep.History))
	for _, d := range rep.History {
		doc, err := decompress(d.Document)
		if err != nil {
			return err
		}
		out = append(out, RoutesRevision{Version: d.Version, Author: d.Author, Reason: d.Reason, AtMs: d.AtMs, Document: string(doc)})
	}
	return c.JSON(http.StatusOK, out)
}

// Metrics serves counters, gauges and latencies in the Prometheus text format.
func (n *Node) Metrics(c echo.Context) error {
	n.updateGauges(c.Request().Context())
	c.Response().Header().Set(echo.HeaderContentType, "text/plain; version=0.0.4")
	return n.Stats.WriteText(c.Response())
}

// updateGauges sets the gauges to the current values: requests, budgets, membership, logs.
func (n *Node) updateGauges(ctx context.Context) {
	set := n.Stats.Gauge
	set("requests_open", "", float64(n.forwarder.Open()))
	set("bodies_held_bytes", "", float64(n.budget.Held()))
	n.setCallerGauges()
	set("servers_limited", "", float64(n.forwarder.LimitedServers()))
	tried, lost := n.forwarder.LostServers()
	set("servers_reach", "tried", float64(tried))
	set("servers_reach", "lost", float64(lost))
	set("routes_version", "", float64(n.routesVersion()))
	n.quotas.setGauges(set)
	if n.LinesDropped != nil {
		set("log_lines_unwritten", "", float64(n.LinesDropped()))
	}
	for service, share := range n.forwarder.Admitted() {
		set("searches_admitted", string(service), share)
	}
	for service, left := range n.forwarder.RemainingBudgets() {
		set("budget_left", string(service), left)
	}
	n.zoneGauges()
	hosts := map[spread.HostState]float64{}
	for _, h := range n.gossip.list() {
		hosts[h.State]++
	}
	set("hosts", "up", hosts[spread.HostUp])
	set("hosts", "leaving", hosts[spread.HostLeaving])
	set("hosts", "down", hosts[spread.HostDown])
	for service, count := range n.catalog.count() {
		set("servers_ready", string(service), float64(count))
	}
	n.proofGauges()
	if r := n.replica.Load(); r != nil {
		ctx, cancel := context.WithTimeout(ctx, opsTimeout)
		defer cancel()
		st, err := r.Status(ctx)
		if err != nil {
			event.ReplicaUnresponsive.Log(n.Log, err, nil)
			return
		}
		set("control_term", "", float64(st.Term))
		set("control_log", "last", float64(st.Last))
		set("control_log", "applied", float64(st.Applied))
		set("control_voters", "", float64(len(st.Members.Voters)))
		leading := 0.0
		if st.Leader == st.Replica {
			leading = 1
		}
		set("control_leads", "", leading)
	}
}
