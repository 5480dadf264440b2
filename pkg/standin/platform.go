package standin

import (
	"encoding/json"
	"net/http"

	"github.com/apricotgrade/apricotgrade/pkg/core/state"
	"github.com/apricotgrade/apricotgrade/pkg/store"
)

// PlatformHandler serves the table service, the object store and the host list of
// the platform over HTTP from a store.
func PlatformHandler(platform store.Platform) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /tables/transact", func(w http.ResponseWriter, r *http.Request) {
		var tx state.Transaction
		if err := json.NewDecoder(r.Body).Decode(&tx); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		res, err := platform.Transact(r.Context(), tx)
		writeResult(w, res, err)
	})
	mux.HandleFunc("GET /tables/rows", func(w http.ResponseWriter, r *http.Request) {
		rows, err := platform.Read(r.Context(), r.URL.Query()["key"])
		writeResult(w, rows, err)
	})
	mux.HandleFunc("GET /tables/scan", func(w http.ResponseWriter, r *http.Request) {
		rows, err := platform.Scan(r.Context(), r.URL.Query().Get("prefix"))
		writeResult(w, rows, err)
	})
	mux.HandleFunc("PUT /objects/{key}", func(w http.ResponseWriter, r *http.Request) {
		var value []byte
		if err := json.NewDecoder(r.Body).Decode(&value); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		writeResult(w, nil, platform.Put(r.Context(), r.PathValue("key"), value))
	})
	mux.HandleFunc("GET /objects/{key}", func(w http.ResponseWriter, r *http.Request) {
		value, err := platform.Get(r.Context(), r.PathValue("key"))
		writeResult(w, value, err)
	})
	mux.HandleFunc("GET /hosts", func(w http.ResponseWriter, r *http.Request) {
		hosts, err := platform.List(r.Context())
		writeResult(w, hosts, err)
	})
	return mux
}

// writeResult answers with the result of a store call as JSON, or with status 503
// and the error.
func writeResult(w http.ResponseWriter, v any, err error) {
	if err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	writeJSON(w, v)
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
