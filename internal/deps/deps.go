//go:build deps

// Package deps keeps the modules of packages under construction in go.mod.
package deps

import (
	_ "github.com/HdrHistogram/hdrhistogram-go"
	_ "github.com/VictoriaMetrics/metrics"
	_ "github.com/cespare/xxhash/v2"
	_ "github.com/fxamacker/cbor/v2"
	_ "github.com/google/subcommands"
	_ "github.com/gorilla/websocket"
	_ "github.com/onsi/ginkgo/v2"
	_ "github.com/onsi/gomega"
	_ "github.com/rogpeppe/go-internal/testscript"
	_ "github.com/sebdah/goldie/v2"
	_ "github.com/zeromicro/go-zero/core/proc"
	_ "github.com/zeromicro/go-zero/rest"
	_ "github.com/zeromicro/go-zero/rest/httpc"
	_ "gonum.org/v1/gonum/stat"
	_ "gonum.org/v1/plot"
	_ "gonum.org/v1/plot/plotter"
	_ "gonum.org/v1/plot/vg"
	_ "gopkg.in/ini.v1"
	_ "pgregory.net/rapid"
)
