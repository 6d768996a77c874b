package caller

import (
	"encoding/json"
	"net/http"
	"net/url"
	"sync"

	"github.com/skylarkweir/skylarkweir/weir/connection/adminapi"
	"github.com/skylarkweir/skylarkweir/weir/request/fault"
	"github.com/skylarkweir/skylarkweir/weir/request/job"
	"github.com/skylarkweir/skylarkweir/weir/version/ledger"
)

// maxExplainedServers limits each list of servers in an explanation, to some 45 kB of JSON.
const maxExplainedServers = 100

// JobExplainer returns what would happen now with a repeatable job; *repeatable.Dispatcher implements it. Each list has
// limit backend servers at most.
type JobExplainer interface {
	Explain(j job.Job, limit int) adminapi.PlacementExplanation
}

// PlacementExplainer explains for operators what the entry would do now with a repeatable job that is not sent.
type PlacementExplainer struct {
	explainer JobExplainer
	replica   *ledger.Replica
	maxTasks  int
	// mu is held while an answer is made. There is one at a time, as each takes the lock of the dispatcher.
	mu sync.Mutex
}

// NewPlacementExplainer returns a PlacementExplainer for jobs of at most maxTasks tasks.
func NewPlacementExplainer(e JobExplainer, replica *ledger.Replica, maxTasks int) *PlacementExplainer {
	return &PlacementExplainer{explainer: e, replica: replica, maxTasks: maxTasks}
}

// ExplainPlacement explains the job in the query: the fields of a repeatable job, and the constraints required_label,
// preferred_label and max_per_server.
func (p *PlacementExplainer) ExplainPlacement(query url.Values) Reply {
	if !p.mu.TryLock() {
		return Refuse(fault.New(fault.Overloaded, "another placement is being explained"), "")
	}
	defer p.mu.Unlock()

	j, err := p.decode(query)
	if err != nil {
		return Refuse(err, "")
	}

	body, _ := json.Marshal(p.explainer.Explain(j, maxExplainedServers))

	return NewReply(http.StatusOK, body, nil)
}

// decode returns the job of a query, with the same checks as for one that a caller sends.
func (p *PlacementExplainer) decode(query url.Values) (job.Job, error) {
	fields := map[string]json.RawMessage{}
	limit := 0

	for name, values := range query {
		if len(values) != 1 {
			return job.Job{}, invalid(name, "%s is given twice", quote([]byte(name)))
		}

		value := values[0]

		switch name {
		case "required_label", "preferred_label":
		case "max_per_server":
			var err error
			if limit, err = decodeInteger(name, json.RawMessage(value), 0, p.maxTasks); err != nil {
				return job.Job{}, err
			}
		case "kind":
			fields[name], _ = json.Marshal(value)
		default:
			fields[name] = json.RawMessage(value)
		}
	}

	data, err := json.Marshal(fields)
	if err != nil {
		return job.Job{}, fault.New(fault.InvalidRequest, "a parameter is not a number")
	}

	b, err := decodeRepeatable(data, p.maxTasks)
	if err != nil {
		return job.Job{}, err
	}

	k, err := b.checkKind(p.replica.State())
	if err != nil {
		return job.Job{}, err
	}

	j := b.job("", k)

	return job.New("", "", j.Tasks(), j.Size(), j.Estimate(), j.Timeout(), j.Policy(),
		job.NewConstraints(query.Get("required_label"), query.Get("preferred_label"), limit)), nil
}
