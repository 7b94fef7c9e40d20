//go:build tools

// Package tools pins dependencies that packages under construction import.
package tools

import (
	_ "github.com/HdrHistogram/hdrhistogram-go"
	_ "github.com/alecthomas/kingpin/v2"
	_ "github.com/cespare/xxhash/v2"
	_ "github.com/google/uuid"
	_ "github.com/rogpeppe/go-internal/testscript"
	_ "github.com/rs/zerolog"
	_ "github.com/valyala/fasthttp"
	_ "golang.org/x/sync/errgroup"
	_ "golang.org/x/sys/unix"
	_ "golang.org/x/time/rate"
	_ "gonum.org/v1/plot"
	_ "pgregory.net/rapid"
)
