// Package hold keeps the required libraries in go.mod until the packages that
// use them stand.
package hold

import (
	_ "github.com/HdrHistogram/hdrhistogram-go"
	_ "github.com/ThreeDotsLabs/watermill/pubsub/gochannel"
	_ "github.com/cespare/xxhash/v2"
	_ "github.com/go-chi/chi/v5"
	_ "github.com/go-logr/logr"
	_ "github.com/google/uuid"
	_ "github.com/jessevdk/go-flags"
	_ "github.com/pelletier/go-toml/v2"
	_ "github.com/prometheus/client_golang/prometheus/promhttp"
	_ "github.com/rcrowley/go-metrics"
	_ "github.com/smartystreets/goconvey/convey"
	_ "github.com/twitchtv/twirp"
	_ "go.uber.org/goleak"
	_ "golang.org/x/sync/errgroup"
	_ "golang.org/x/time/rate"
	_ "gonum.org/v1/gonum/stat/distuv"
	_ "gonum.org/v1/plot"
	_ "gonum.org/v1/plot/vg/vgimg"
	_ "pgregory.net/rapid"
)
