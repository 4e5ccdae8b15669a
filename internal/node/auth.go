package node

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"net/http"
	"strings"

	"github.com/labstack/echo/v4"
	"github.com/sirupsen/logrus"

	"sassafrasring.dev/sassafrasring/internal/proc/event"
	"sassafrasring.dev/sassafrasring/internal/setup"
)

const accountKey = "account"

// Hash returns a secret's SHA-256 in hex, the form in which settings store secrets.
func Hash(secret string) string {
	h := sha256.Sum256([]byte(secret))
	return hex.EncodeToString(h[:])
}

// matchCredential reports whether list contains the name with this secret. It compares
// against every credential, so that its duration does not reveal which names exist.
func matchCredential(list []setup.Credential, name, secret string) bool {
	hash := []byte(Hash(secret))
	found := 0
	for _, a := range list {
		same := subtle.ConstantTimeCompare([]byte(strings.ToLower(a.SHA256)), hash)
		found |= same & subtle.ConstantTimeCompare([]byte(a.Name), []byte(name))
	}
	return found == 1
}

func (n *Node) basicAuth(list []setup.Credential) echo.MiddlewareFunc {
	return func(next echo.HandlerFunc) echo.HandlerFunc {
		return func(c echo.Context) error {
			name, secret, ok := c.Request().BasicAuth()
			if !ok || !matchCredential(list, name, secret) {
				c.Response().Header().Set("WWW-Authenticate", "Basic")
				return n.refuseAccess(c, name)
			}
			c.Set(accountKey, name)
			return next(c)
		}
	}
}

func (n *Node) callerOnly(next echo.HandlerFunc) echo.HandlerFunc {
	return n.basicAuth(n.Settings.Accounts)(next)
}

func (n *Node) operatorOnly(next echo.HandlerFunc) echo.HandlerFunc {
	return n.basicAuth(n.Settings.Operators)(next)
}

// serverOnly requires a valid server token, which servers present to announce themselves.
func (n *Node) serverOnly(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		token, ok := strings.CutPrefix(c.Request().Header.Get("Authorization"), "Bearer ")
		hash := []byte(Hash(token))
		found := 0
		for _, t := range n.Settings.ServerTokens {
			found |= subtle.ConstantTimeCompare([]byte(strings.ToLower(t)), hash)
		}
		if !ok || found == 0 {
			event.AnnouncementRefused.Log(n.Log, nil, logrus.Fields{"remote": c.RealIP()})
			n.Stats.Count("announcements_refused", "credential")
			return echo.NewHTTPError(http.StatusUnauthorized, "a server token is required")
		}
		return next(c)
	}
}

func (n *Node) refuseAccess(c echo.Context, name string) error {
	event.AccessRefused.Log(n.Log, nil, logrus.Fields{"remote": c.RealIP(), "account": name, "path": c.Path()})
	n.Stats.Count("access_refused", c.Path())
	return echo.NewHTTPError(http.StatusUnauthorized, "account or secret is wrong or missing")
}
