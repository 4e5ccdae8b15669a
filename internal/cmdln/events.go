package cmdln

import (
	"fmt"

	"github.com/spf13/cobra"

	"sassafrasring.dev/sassafrasring/internal/proc/event"
)

func eventsCommand(o *options) *cobra.Command {
	return &cobra.Command{
		Use: "events", Short: "Print the catalogue of log events", Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			_, err := fmt.Fprint(o.out, "# Log events\n\nMade by `sassafrasring events`; do not edit by hand.\n\n| event | level | message | meaning |\n| --- | --- | --- | --- |\n")
			for _, e := range event.Catalogue {
				if err == nil {
					_, err = fmt.Fprintf(o.out, "| %d | %s | %s | %s |\n", e.Number, e.Level, e.Message, e.Doc)
				}
			}
			return err
		},
	}
}
