package main

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"sync"
	"time"

	"github.com/urfave/cli/v3"

	"junctionwharf/internal/collectd"
	"junctionwharf/internal/fakes"
)

// listenReportInterval is the interval at which faults and notifications are printed and points are flushed.
const listenReportInterval = time.Second

func listenCommand() *cli.Command {
	return &cli.Command{
		Name:  "listen",
		Usage: "receive, check and print or store the metrics that brokers send to Graphite and collectd",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "graphite", Usage: "receive plaintext at `ADDR`, TCP and UDP"},
			&cli.StringFlag{Name: "pickle", Usage: "receive Graphite pickles at `ADDR`, TCP"},
			&cli.StringFlag{Name: "collectd", Usage: "receive collectd packets at `ADDR`, UDP"},
			&cli.StringFlag{
				Name:  "key-file",
				Usage: "accept only collectd packets that are signed or encrypted with the first key of `FILE`",
			},
			&cli.StringFlag{Name: "out", Usage: "store the points in `FILE` instead of printing them"},
			&cli.DurationFlag{Name: "for", Usage: "time to listen; 0: until SIGINT or SIGTERM"},
		},
		Action: listen,
	}
}

func listen(ctx context.Context, cmd *cli.Command) error {
	out := io.Writer(os.Stdout)
	if path := cmd.String("out"); path != "" {
		file, err := os.Create(path)
		if err != nil {
			return err
		}
		defer func() { _ = file.Close() }() // flush returns write errors
		out = file
	}
	l := newListener(out)
	if err := l.start(ctx, cmd); err != nil {
		return err
	}
	if length := cmd.Duration("for"); length > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, length)
		defer cancel()
	}
	return l.run(ctx)
}

// listener receives metrics and prints them. run owns the counts of reported faults and notifications. The receivers'
// goroutines only add points, with outLock held. The receivers end with the context that is passed to start.
type listener struct {
	points   *fakes.PointStore
	collectd *fakes.Collectd // nil without --collectd

	outLock sync.Mutex
	out     *bufio.Writer

	receivers       int
	reportedFaults  int
	reportedNotices int
}

func newListener(out io.Writer) *listener {
	l := &listener{out: bufio.NewWriter(out)}
	l.points = fakes.NewPointStore(func(p fakes.Point) {
		l.outLock.Lock()
		defer l.outLock.Unlock()
		_, _ = fmt.Fprintf(l.out, "%d %s %v\n", p.Timestamp, p.Series, p.Value) // flush returns write errors
	})
	return l
}

// receiver is a fake metrics receiver.
type receiver interface {
	Address() string
	Close()
}

// start opens the receivers whose flags are set.
func (l *listener) start(ctx context.Context, cmd *cli.Command) error {
	secrets := map[string]string{}
	if path := cmd.String("key-file"); path != "" {
		key, err := collectd.ReadKey(path, "")
		if err != nil {
			return fmt.Errorf("--key-file: %w", err)
		}
		secrets[key.User] = key.Secret
	}
	err := errors.Join(
		l.open(ctx, cmd, "graphite", func(address string) (receiver, error) {
			return fakes.NewCarbon(address, false, l.points)
		}),
		l.open(ctx, cmd, "pickle", func(address string) (receiver, error) {
			return fakes.NewCarbon(address, true, l.points)
		}),
		l.open(ctx, cmd, "collectd", func(address string) (receiver, error) {
			var err error
			l.collectd, err = fakes.NewCollectd(address, secrets, l.points)
			return l.collectd, err
		}))
	if err != nil {
		return err
	}
	if l.receivers == 0 {
		return errors.New("no receiver: set --graphite, --pickle or --collectd")
	}
	return nil
}

// open opens a receiver at the address of its flag, if the flag is set. The receiver is closed when ctx ends.
func (l *listener) open(
	ctx context.Context, cmd *cli.Command, flag string, open func(address string) (receiver, error),
) error {
	address := cmd.String(flag)
	if address == "" {
		return nil
	}
	r, err := open(address)
	if err != nil {
		return fmt.Errorf("--%s: %w", flag, err)
	}
	l.receivers++
	context.AfterFunc(ctx, r.Close)
	fmt.Fprintf(os.Stderr, "%s at %s\n", flag, r.Address())
	return nil
}

// run flushes points and reports faults and notifications until ctx ends.
func (l *listener) run(ctx context.Context) error {
	ticker := time.NewTicker(listenReportInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			fmt.Fprintf(os.Stderr, "%d points, %d series, %d faults\n",
				l.points.Received(), len(l.points.Latest()), len(l.points.Errors()))
			return l.flush()
		case <-ticker.C:
			if err := l.flush(); err != nil {
				return err
			}
			l.reportFaults()
			l.reportNotices()
			showProgress("%d points, %d series, %d faults",
				l.points.Received(), len(l.points.Latest()), l.reportedFaults)
		}
	}
}

func (l *listener) flush() error {
	l.outLock.Lock()
	defer l.outLock.Unlock()
	return l.out.Flush()
}

// reportFaults prints the faults since the last call.
func (l *listener) reportFaults() {
	faults := l.points.Errors()
	for _, fault := range faults[l.reportedFaults:] {
		fmt.Fprintln(os.Stderr, "fault:", fault)
	}
	l.reportedFaults = len(faults)
}

// reportNotices prints the collectd notifications since the last call.
func (l *listener) reportNotices() {
	if l.collectd == nil {
		return
	}
	notices := l.collectd.Notifications()
	for _, n := range notices[l.reportedNotices:] {
		fmt.Fprintf(os.Stderr, "notification from %s: severity %d: %s\n", n.Host, n.Severity, n.Text)
	}
	l.reportedNotices = len(notices)
}
