// Command apricotgrade-standin runs one stand-in: the platform, a model engine
// or an order service.
package main

import (
	"context"
	"encoding/json"
	"flag"
	"log/slog"
	"net/http"
	"os"
	"time"

	"github.com/apricotgrade/apricotgrade/pkg/core/state"
	"github.com/apricotgrade/apricotgrade/pkg/platform/memory"
	"github.com/apricotgrade/apricotgrade/pkg/standin"
)

func main() {
	kind := flag.String("kind", "", "platform, engine or service")
	listen := flag.String("listen", "", "address to listen on")
	hosts := flag.String("hosts", "", "JSON file with the list of hosts (platform)")
	service := flag.String("service", "", "address of the order service (platform)")
	groups := flag.Int("groups", 2, "number of declared groups (platform)")
	flag.Parse()
	var handler http.Handler
	switch *kind {
	case "platform":
		store := memory.New()
		b, err := os.ReadFile(*hosts)
		if err != nil {
			slog.Error("read hosts", "error", err)
			os.Exit(1)
		}
		var list []state.ListedHost
		_ = json.Unmarshal(b, &list)
		store.SetHosts(list)
		_ = standin.Seed(context.Background(), store, standin.DemoDocument(*groups, *service))
		handler = standin.PlatformHandler(store)
	case "engine":
		handler = standin.NewEngine(state.Incarnation(time.Now().UnixNano())).Handler()
	default:
		handler = standin.NewService().Handler()
	}
	server := &http.Server{Addr: *listen, Handler: handler, ReadHeaderTimeout: 10 * time.Second}
	if err := server.ListenAndServe(); err != nil {
		slog.Error("stand-in failed", "error", err)
		os.Exit(1)
	}
}
