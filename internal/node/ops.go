package node

import (
	"context"
	"net/http"
	"sort"
	"strconv"
	"time"

	"github.com/labstack/echo/v4"

	"sassafrasring.dev/sassafrasring/internal/proc/ctrl"
	"sassafrasring.dev/sassafrasring/internal/proc/roster"
	"sassafrasring.dev/sassafrasring/internal/proc/stats"
	"sassafrasring.dev/sassafrasring/internal/proc/store"
	"sassafrasring.dev/sassafrasring/internal/vers"
	"sassafrasring.dev/sassafrasring/pkg/tier"
)

// opsTimeout bounds an operator's request.
const opsTimeout = 5 * time.Second

// Status is a node's own view of its state, as /v1/ops/status returns it.
type Status struct {
	Node     tier.NodeID        `json:"node"`
	Zone     tier.Zone          `json:"zone"`
	Version  string             `json:"version"`
	Instance tier.Instance      `json:"instance"`
	Ready    bool               `json:"ready"`
	Refusing tier.Reason        `json:"refusing,omitempty"`
	Draining bool               `json:"draining"`
	Leased   bool               `json:"leased"`
	Leader   tier.NodeID        `json:"leader"`
	Config   tier.ConfigVersion `json:"config_version"`
	Stamp    roster.Stamp       `json:"membership"`
	Nodes    int                `json:"nodes"`
	Servers  int                `json:"servers"`
	Owned    int                `json:"owned"`
	Sendable int                `json:"sendable"`
	Links    int                `json:"links"`
	Open     int64              `json:"open_requests"`
	Services []tier.Service     `json:"services"`
	Latency  []stats.Series     `json:"latency"`
}

func (n *Node) status() Status {
	t := n.fleet.Table()
	n.leader.mu.Lock()
	leaderID := n.leader.hint
	n.leader.mu.Unlock()
	return Status{
		Node: n.Settings.Node, Zone: n.Settings.Zone, Version: Version, Instance: n.instance,
		Ready: n.fleet.Ready(), Refusing: n.fleet.RefusalReason(), Draining: n.draining.Load(), Leased: n.fleet.Leased(), Leader: leaderID,
		Config: n.fleet.Config().Version, Stamp: t.Stamp, Nodes: len(t.Nodes), Servers: len(t.Servers), Owned: len(n.fleet.Owned()), Sendable: n.fleet.Sendable(),
		Links: n.mesh.Links(), Open: n.engine.Open(), Services: n.fleet.Catalog().Services(), Latency: n.Stats.Series(),
	}
}

func (n *Node) getStatus(c echo.Context) error { return c.JSON(http.StatusOK, n.status()) }

func opsContext(c echo.Context) (context.Context, context.CancelFunc) {
	return context.WithTimeout(c.Request().Context(), opsTimeout)
}

// getConfig returns the newest accepted configuration, or with ?local=true the one in
// force on this node.
func (n *Node) getConfig(c echo.Context) error {
	if c.QueryParam("local") == "true" {
		return c.JSON(http.StatusOK, n.fleet.Config())
	}
	ctx, cancel := opsContext(c)
	defer cancel()
	rep, err := n.leader.callLeader(ctx, adminRequest{Kind: adminConfig})
	if err != nil {
		return err
	}
	return c.JSON(http.StatusOK, rep.Config)
}

// postChange proposes a configuration change. It returns 409 if the change lost a race
// against another one, and 422 if it is invalid.
func (n *Node) postChange(c echo.Context) error {
	var ch vers.Change
	if err := decode(c, &ch); err != nil {
		return err
	}
	if ch.ID == "" {
		return badRequest("id: a change id is required")
	}
	if len(ch.ID) > vers.MaxTextBytes || len(ch.Reason) > vers.MaxTextBytes {
		return badRequest("id, reason: at most " + strconv.Itoa(vers.MaxTextBytes) + " bytes are allowed")
	}
	ch.Author = tier.Operator(c.Get(accountKey).(string))
	ctx, cancel := opsContext(c)
	defer cancel()
	res, err := n.leader.Propose(ctx, store.Command{Change: &ch})
	if err != nil {
		return err
	}
	status := map[store.ChangeStatus]int{
		store.ChangeAccepted: http.StatusOK, store.ChangeRaced: http.StatusConflict, store.ChangeInvalid: http.StatusUnprocessableEntity,
	}[res.Change.Status]
	return c.JSON(status, res.Change)
}

func (n *Node) getHistory(c echo.Context) error {
	ctx, cancel := opsContext(c)
	defer cancel()
	rep, err := n.leader.callLeader(ctx, adminRequest{Kind: adminHistory})
	if err != nil {
		return err
	}
	return c.JSON(http.StatusOK, append([]store.HistoryEntry{}, rep.History...))
}

// Lagging lists the nodes on which a configuration version is not yet in force.
type Lagging struct {
	Version tier.ConfigVersion `json:"version"`
	Nodes   []tier.NodeID      `json:"nodes"`
}

func (n *Node) getLagging(c echo.Context) error {
	v, err := strconv.ParseUint(c.QueryParam("version"), 10, 64)
	if err != nil {
		return badRequest("version: a number is required")
	}
	ctx, cancel := opsContext(c)
	defer cancel()
	rep, err := n.leader.callLeader(ctx, adminRequest{Kind: adminLagging, Version: tier.ConfigVersion(v)})
	if err != nil {
		return err
	}
	return c.JSON(http.StatusOK, Lagging{tier.ConfigVersion(v), append([]tier.NodeID{}, rep.Lagging...)})
}

func (n *Node) getNodes(c echo.Context) error {
	t := n.fleet.Table()
	list := make([]roster.Node, 0, len(t.Nodes))
	for _, m := range t.Nodes {
		list = append(list, m)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].ID < list[j].ID })
	return c.JSON(http.StatusOK, list)
}

// ServerRow is a server's announcement with the node that owns the server.
type ServerRow struct {
	tier.Announcement
	Owner tier.NodeID `json:"owner"`
}

func (n *Node) getServers(c echo.Context) error {
	t := n.fleet.Table()
	list := make([]ServerRow, 0, len(t.Servers))
	for id, s := range t.Servers {
		p, _ := n.fleet.OwnerOf(id)
		list = append(list, ServerRow{s, p.Node})
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Server < list[j].Server })
	return c.JSON(http.StatusOK, list)
}

func (n *Node) getSuspects(c echo.Context) error {
	return c.JSON(http.StatusOK, n.engine.Suspects())
}

// deleteSuspect ends the quarantine of one fingerprint, or every quarantine for "all".
func (n *Node) deleteSuspect(c echo.Context) error {
	var f uint64
	if p := c.Param("print"); p != "all" {
		var err error
		if f, err = strconv.ParseUint(p, 10, 64); err != nil || f == 0 {
			return badRequest("fingerprint: a number or all is required")
		}
	}
	ctx, cancel := opsContext(c)
	defer cancel()
	cl := &store.Clear{Fingerprint: tier.Fingerprint(f), Author: tier.Operator(c.Get(accountKey).(string))}
	if _, err := n.leader.Propose(ctx, store.Command{Clear: cl}); err != nil {
		return err
	}
	return c.NoContent(http.StatusNoContent)
}

func (n *Node) getControl(c echo.Context) error {
	ctx, cancel := opsContext(c)
	defer cancel()
	rep, err := n.leader.callLeader(ctx, adminRequest{Kind: adminStatus})
	if err != nil {
		return err
	}
	return c.JSON(http.StatusOK, rep.Status)
}

func (n *Node) postControl(c echo.Context) error {
	kind := map[string]adminKind{"add": adminAdd, "remove": adminRemove, "hand": adminTransfer}[c.Param("order")]
	if kind == "" {
		return badRequest("order: add, remove or hand are allowed")
	}
	ctx, cancel := opsContext(c)
	defer cancel()
	rep, err := n.leader.callLeader(ctx, adminRequest{Kind: kind, Node: tier.NodeID(c.QueryParam("node"))})
	if err != nil {
		return err
	}
	return c.JSON(http.StatusOK, map[string]any{"done": string(kind), "status": rep.Status})
}

func (n *Node) getBackup(c echo.Context) error {
	ctx, cancel := opsContext(c)
	defer cancel()
	rep, err := n.leader.callLeader(ctx, adminRequest{Kind: adminBackup})
	if err != nil {
		return err
	}
	return c.Blob(http.StatusOK, echo.MIMEOctetStream, rep.Backup)
}

// ControlStatus is the response body of getControl.
type ControlStatus = ctrl.Status
