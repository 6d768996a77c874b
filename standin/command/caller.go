package command

import (
	"encoding/json"
	"os"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/skylarkweir/skylarkweir/daemon/console"
	"github.com/skylarkweir/skylarkweir/standin/caller"
	"github.com/skylarkweir/skylarkweir/weir/process/settings"
)

// callerCommand generates load.
type callerCommand struct {
	global   *globalOptions
	Load     string        `long:"load" required:"yes" value-name:"FILE" description:"Settings file of the load"`
	Entries  []string      `long:"entry" value-name:"URL" description:"Entry, instead of those in the file; repeatable"`
	Rate     float64       `long:"rate" description:"Arrivals per second, instead of the rate in the file"`
	Duration time.Duration `long:"duration" description:"Duration of the arrivals, instead of that in the file"`
	Seed     *uint64       `long:"seed" description:"Random seed, instead of that in the file"`
	Records  string        `long:"records" value-name:"FILE" description:"File to write one JSON line per submission to"`
	JSON     bool          `long:"json" description:"Print the report as JSON"`
}

func newCaller(g *globalOptions) console.Command {
	return console.NewCommand(
		"caller", "Submit jobs and requests at a given rate",
		"Submits at random times that do not depend on the answers, and prints a report when all are answered. The exit "+
			"code is 1 if an answer was incomplete or belonged to another submission.\n\n"+
			"Example:\n  standin caller --load load.jsonc --rate 50 --duration 30s --records records.jsonl",
		&callerCommand{global: g},
	)
}

func (c *callerCommand) Execute([]string) error {
	ctx, cancel := signalContext()
	defer cancel()

	var l caller.Load
	if err := settings.Load(c.Load, &l); err != nil {
		return err
	}

	c.override(&l)

	w, err := newRecordWriter(c.Records)
	if err != nil {
		return err
	}

	r := caller.NewGenerator(&l, w.write).Run(ctx)

	if err := w.close(); err != nil {
		return err
	}

	if c.JSON {
		e := json.NewEncoder(c.global.out)
		e.SetIndent("", "  ")

		if err := e.Encode(r); err != nil {
			return merry.Prepend(err, "write the report")
		}
	} else {
		r.Print(c.global.out)
	}

	if n := r.All().Wrong(); n > 0 {
		return merry.Errorf("%d answers were incomplete or belonged to another submission", n)
	}

	return nil
}

func (c *callerCommand) override(l *caller.Load) {
	if len(c.Entries) > 0 {
		l.Entries = c.Entries
	}

	if c.Rate > 0 {
		l.Rate = c.Rate
	}

	if c.Duration > 0 {
		l.Duration = settings.Duration(c.Duration)
	}

	if c.Seed != nil {
		l.Seed = *c.Seed
	}
}

// recordWriter writes records to a file. Without a file, it discards them.
type recordWriter struct {
	mutex sync.Mutex
	file  *os.File
	err   error
}

func newRecordWriter(file string) (*recordWriter, error) {
	if file == "" {
		return &recordWriter{}, nil
	}

	f, err := os.Create(file)
	if err != nil {
		return nil, merry.Prepend(err, "create the file of records")
	}

	return &recordWriter{file: f}, nil
}

func (r *recordWriter) write(rec *caller.Record) {
	if r.file == nil {
		return
	}

	line, err := json.Marshal(rec)

	r.mutex.Lock()
	defer r.mutex.Unlock()

	if err == nil {
		_, err = r.file.Write(append(line, '\n'))
	}

	if r.err == nil {
		r.err = err
	}
}

func (r *recordWriter) close() error {
	if r.file == nil {
		return nil
	}

	if err := r.file.Close(); r.err == nil {
		r.err = err
	}

	return r.err
}
