package commander

import (
	"fmt"
	"io"
	"runtime/debug"

	"github.com/spf13/cobra"
)

type versionOutput struct {
	Version  string `json:"version"`
	Revision string `json:"revision"`
	Go       string `json:"go"`
}

func newVersion() *cobra.Command {
	return &cobra.Command{
		Use: "version", Short: "Print the program's version", Args: noArguments,
		RunE: func(c *cobra.Command, _ []string) error {
			out := versionOutput{Version: "unknown", Revision: "unknown"}
			if info, ok := debug.ReadBuildInfo(); ok {
				out.Version, out.Go = info.Main.Version, info.GoVersion
				for _, setting := range info.Settings {
					if setting.Key == "vcs.revision" {
						out.Revision = setting.Value
					}
				}
			}
			return printOutput(c, out, func(w io.Writer) {
				fmt.Fprintf(w, "gypsumwharf %s, revision %s, %s\n", out.Version, out.Revision, out.Go)
			})
		},
	}
}
