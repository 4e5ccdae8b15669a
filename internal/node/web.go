package node

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/labstack/echo/v4/middleware"
	"github.com/pkg/errors"
	"golang.org/x/net/netutil"

	"sassafrasring.dev/sassafrasring/internal/conn"
	"sassafrasring.dev/sassafrasring/internal/setup"
	"sassafrasring.dev/sassafrasring/pkg/tier"
)

// callerIdleTimeout is how long an idle connection of a caller is kept open.
const callerIdleTimeout = 60 * time.Second

// httpServer is the node's HTTP server for callers, servers and operators.
type httpServer struct {
	server    *http.Server
	listener  *conn.DrainListener
	tls       bool
	closing   chan struct{}
	closeOnce sync.Once
}

// listen opens the listener of the HTTP server and sets the server up.
func (n *Node) listen() error {
	s := &n.Settings
	l, err := conn.Listen(s.Callers, func(base net.Listener) net.Listener { return netutil.LimitListener(base, s.Limits.Connections) })
	if err != nil {
		return err
	}
	srv := &http.Server{
		Handler:           n.routes(),
		MaxHeaderBytes:    s.Limits.HeaderBytes,
		ReadHeaderTimeout: s.Limits.ReadMs.Duration(),
		ReadTimeout:       s.Limits.ReadMs.Duration(),
		IdleTimeout:       callerIdleTimeout,
		ConnState:         l.ConnState,
	}
	n.web = &httpServer{server: srv, listener: l, closing: make(chan struct{})}
	return n.callerTLS()
}

func (n *Node) callerTLS() error {
	t := n.Settings.CallerTLS
	if t == (setup.TLS{}) {
		return nil
	}
	certs := &conn.Certs{CA: t.CA, Cert: t.Cert, Key: t.Key}
	if err := certs.Load(); err != nil {
		return err
	}
	n.web.server.TLSConfig = certs.ServerConfig([]string{"http/1.1"}, t.CA != "")
	n.web.tls = true
	return nil
}

// serve runs until close is called or the listener fails. It does not return on shutdown
// alone, because requests may still be in flight then.
func (w *httpServer) serve() error {
	var err error
	if w.tls {
		err = w.server.ServeTLS(w.listener, "", "")
	} else {
		err = w.server.Serve(w.listener)
	}
	if errors.Is(err, http.ErrServerClosed) {
		<-w.closing
		return nil
	}
	return err
}

// shutdown stops accepting connections and waits for the requests in flight.
func (w *httpServer) shutdown(ctx context.Context) { w.listener.Drain(ctx, w.server) }

func (w *httpServer) close() {
	w.closeOnce.Do(func() { close(w.closing) })
	_ = w.server.Close()
}

func (n *Node) routes() http.Handler {
	e := echo.New()
	e.HideBanner, e.HidePort = true, true
	e.HTTPErrorHandler = n.httpError
	e.Use(middleware.Recover(), n.limitBody, n.closeWhileDraining)

	e.GET("/healthz", func(c echo.Context) error { return c.String(http.StatusOK, "ok\n") })
	e.GET("/readyz", n.getReady)
	e.GET("/metrics", n.getMetrics)

	e.GET("/v1/entries", n.getEntries, n.callerOnly)
	e.POST("/v1/query", n.postQuery, n.callerOnly)
	e.POST("/v1/write", n.postWrite, n.callerOnly)
	e.POST("/v1/announce", n.postAnnounce, n.serverOnly)

	o := e.Group("/v1/ops", n.operatorOnly)
	o.GET("/status", n.getStatus)
	o.GET("/config", n.getConfig)
	o.POST("/config", n.postChange)
	o.GET("/config/history", n.getHistory)
	o.GET("/config/lagging", n.getLagging)
	o.GET("/nodes", n.getNodes)
	o.GET("/servers", n.getServers)
	o.GET("/suspects", n.getSuspects)
	o.DELETE("/suspects/:print", n.deleteSuspect)
	o.GET("/control", n.getControl)
	o.POST("/control/:order", n.postControl)
	o.GET("/backup", n.getBackup)
	return e
}

// limitBody limits the size of request bodies.
func (n *Node) limitBody(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		r := c.Request()
		if r.ContentLength > n.Settings.Limits.BodyBytes {
			return echo.NewHTTPError(http.StatusRequestEntityTooLarge, "body is too large")
		}
		r.Body = http.MaxBytesReader(c.Response(), r.Body, n.Settings.Limits.BodyBytes)
		return next(c)
	}
}

// closeWhileDraining closes connections after the response while the node is draining, so
// that callers connect to another node.
func (n *Node) closeWhileDraining(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		if n.draining.Load() {
			c.Response().Header().Set("Connection", "close")
		}
		return next(c)
	}
}

// ErrorBody is the JSON body of every error response.
type ErrorBody struct {
	Error string `json:"error"`
	Step  string `json:"step,omitempty"`
	Peer  string `json:"peer,omitempty"`
	Hint  string `json:"hint,omitempty"`
}

func (n *Node) httpError(err error, c echo.Context) {
	if c.Response().Committed {
		return
	}
	status, f := errorResponse(err)
	_ = c.JSON(status, f)
}

// errorResponse maps an error to an HTTP status and a body.
func errorResponse(err error) (int, ErrorBody) {
	var he *echo.HTTPError
	var tooLarge *http.MaxBytesError
	var ne net.Error
	var se *tier.StepError
	switch {
	case errors.As(err, &tooLarge):
		return http.StatusRequestEntityTooLarge, ErrorBody{Error: "body is too large"}
	case errors.As(err, &ne) && ne.Timeout():
		return http.StatusRequestTimeout, ErrorBody{Error: "request did not arrive in time"}
	case errors.As(err, &he):
		msg, _ := he.Message.(string)
		if msg == "" {
			msg = http.StatusText(he.Code)
		}
		return he.Code, ErrorBody{Error: msg}
	case errors.As(err, &se):
		f := ErrorBody{Error: se.Err.Error(), Step: se.Step, Peer: se.Peer}
		if errors.Is(err, tier.ErrNoControl) {
			f.Hint = "most control hosts must be up and reached from this node; try another entry"
		}
		return http.StatusServiceUnavailable, f
	}
	return http.StatusInternalServerError, ErrorBody{Error: err.Error()}
}
