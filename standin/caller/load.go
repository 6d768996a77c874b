package caller

import (
	"github.com/skylarkweir/skylarkweir/weir/process/settings"
)

// Load is the content of a settings file that describes a load. The fields are exported only for settings.Load.
type Load struct {
	Entries      []string          `json:"entries" doc:"HTTP addresses of the entries, such as http://127.0.0.1:7100"`
	Token        string            `json:"token" doc:"Bearer token of the member"`
	Rate         float64           `json:"rate" doc:"Mean number of arrivals" unit:"submissions/s" range:"0.001..100000"`
	Duration     settings.Duration `json:"duration" doc:"Time during which submissions arrive" default:"10s" range:"1ms..24h"`
	Seed         uint64            `json:"seed" doc:"Seed of arrivals, kinds, sizes and run times" default:"1"`
	AttemptLimit int               `json:"attempts" doc:"Maximum number of times that one submission is sent" default:"4" range:"1..100"`
	AnswerGrace  settings.Duration `json:"patience" doc:"Time after the deadline at which an unanswered attempt is abandoned and repeated at another entry" default:"3s" range:"1ms..10m"`
	TicketBatch  int               `json:"batch" doc:"Number of tickets in one request for tickets" default:"16" range:"1..1000"`
	Mix          []Kind            `json:"mix" doc:"Kinds of work"`
}

// Kind describes the submissions of one kind of work in a load.
type Kind struct {
	Name        string            `json:"kind" doc:"Name of the kind in the agreement"`
	Form        string            `json:"form" doc:"Form of the submission" default:"request" range:"job|request|repeatable"`
	Weight      float64           `json:"weight" doc:"Share of the arrivals relative to the other kinds" default:"1" range:"0..1000000"`
	MinTasks    int               `json:"tasks_least" doc:"Smallest number of tasks of a job" default:"1" range:"1..1000"`
	MaxTasks    int               `json:"tasks_most" doc:"Largest number of tasks of a job" default:"1" range:"1..1000"`
	RunTime     Distribution      `json:"run" doc:"Run time of a task" default:"fixed 100ms"`
	TailRunTime Distribution      `json:"tail" doc:"Run time of a task in the tail" default:"fixed 3s"`
	TailShare   float64           `json:"tail_share" doc:"Share of the tasks that belong to the tail" default:"0" range:"0..1"`
	Cores       int               `json:"cores" doc:"Declared cores of a task" default:"1" range:"1..1024"`
	MemoryMB    int               `json:"memory_mb" doc:"Declared memory of a task" unit:"MB" default:"64" range:"0..1048576"`
	Deadline    settings.Duration `json:"deadline" doc:"Deadline of the submission" default:"30s" range:"1ms..2m"`
	Padding     int               `json:"padding" doc:"Additional bytes in the input of each task" unit:"bytes" default:"0" range:"0..1048576"`
}

// Check reports a load without entries or without kinds to generate.
func (l *Load) Check() error {
	total := 0.0
	for _, k := range l.Mix {
		total += k.Weight
	}

	switch {
	case len(l.Entries) == 0:
		return settings.KeyErrorf("entries", "at least one entry is needed")
	case total <= 0:
		return settings.KeyErrorf("mix", "at least one kind with a weight above 0 is needed")
	}

	return nil
}

// Check reports numbers of tasks that cannot be generated.
func (k *Kind) Check() error {
	switch {
	case k.MaxTasks < k.MinTasks:
		return settings.KeyErrorf("tasks_most", "it is less than tasks_least")
	case k.Form != formJob && k.MaxTasks > 1:
		return settings.KeyErrorf("tasks_most", "only a job can have several tasks")
	}

	return nil
}

// pickKind returns the kind at a position in the total weight, which is scaled to 0..1.
func (l *Load) pickKind(position float64) Kind {
	total := 0.0
	for _, k := range l.Mix {
		total += k.Weight
	}

	position *= total
	for _, k := range l.Mix {
		if position < k.Weight {
			return k
		}

		position -= k.Weight
	}

	return l.Mix[len(l.Mix)-1]
}
