package system

import (
	"os"
	"os/exec"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"sassafrasring.dev/sassafrasring/internal/stand"
)

// TestExamplesOfTheAPIPage runs every curl command of docs/API.md as it stands,
// but for addresses and secrets; each must get an answer that is no error.
func TestExamplesOfTheAPIPage(t *testing.T) {
	page, err := os.ReadFile("../../docs/API.md")
	require.NoError(t, err)
	f := newFleet(t, shape{nodes: 3, services: []stand.Service{search("fitter-app", 2), desk(3)}})
	f.awaitAnswers(f.nodes...)
	put := strings.NewReplacer("127.0.0.1:27001", f.nodes[0].callers, "caller-secret", secret, "operator-secret", secret, "server-token", token)
	commands := curlCommands(string(page))
	require.GreaterOrEqual(t, len(commands), 5)
	for _, c := range commands {
		out, err := exec.Command("bash", "-c", put.Replace(strings.Replace(c, "curl ", "curl -sS --fail-with-body ", 1))).CombinedOutput()
		require.NoError(t, err, "%s\n%s", c, out)
		require.True(t, strings.HasPrefix(string(out), "{") || strings.HasPrefix(string(out), "["), "%s\n%s", c, out)
	}
}

// curlCommands returns the commands of a page's code blocks, with their continuation lines.
func curlCommands(page string) []string {
	var out []string
	open := false
	for line := range strings.Lines(page) {
		text, code := strings.CutPrefix(line, "    ")
		switch {
		case code && strings.HasPrefix(text, "curl "):
			out = append(out, text)
			open = strings.Count(text, "'")%2 == 1
		case code && open:
			out[len(out)-1] += text
			open = strings.Count(out[len(out)-1], "'")%2 == 1
		}
	}
	return out
}
