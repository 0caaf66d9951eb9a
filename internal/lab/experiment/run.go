package experiment

import (
	"context"
	"fmt"
	"slices"

	"github.com/juju/errors"

	"github.com/bramleybarrow/bramleybarrow/internal/lab/model"
)

// Report is the outcome of an experiment.
type Report struct {
	Experiment *Experiment     `json:"experiment"`
	Variants   []VariantReport `json:"variants"`
	Unmet      []string        `json:"unmet"` // what was expected and did not come true
}

// VariantReport is the outcome of one variant.
type VariantReport struct {
	Name string         `json:"name"`
	Runs []model.Result `json:"runs"` // in the order of the seeds
}

// Spread is the mean, least and greatest of a figure over the runs of a variant.
type Spread struct {
	Mean, Min, Max float64
}

// Run plays each variant with each seed. progress is called after each run; it may be nil. Run ends
// early, with the context's error, if ctx ends.
func Run(ctx context.Context, e *Experiment, progress func(variant string, seed uint64, r model.Result)) (*Report, error) {
	report := &Report{Experiment: e, Unmet: []string{}}
	for i := range e.Variants {
		v := &e.Variants[i]
		outcome := VariantReport{Name: v.Name}
		for _, seed := range e.Seeds {
			if err := ctx.Err(); err != nil {
				return nil, errors.Trace(err)
			}
			r := e.play(v, seed)
			outcome.Runs = append(outcome.Runs, r)
			if progress != nil {
				progress(v.Name, seed, r)
			}
		}
		report.Variants = append(report.Variants, outcome)
		report.Unmet = append(report.Unmet, v.unmet(&outcome)...)
	}
	return report, nil
}

// play plays one run.
func (e *Experiment) play(v *Variant, seed uint64) model.Result {
	m := model.New(e.config(v, seed))
	for i := range e.Faults {
		e.Faults[i].addTo(m, e.length())
	}
	return m.Run(e.length())
}

// unmet returns what was expected of the variant and did not come true.
func (v *Variant) unmet(r *VariantReport) (texts []string) {
	inTime, credit := r.Spread(InTimeShare), r.Spread(Credit)
	if least := v.Expect.MinInTime; least != nil && inTime.Min < *least {
		texts = append(texts, fmt.Sprintf("%s: in time %.4f, expected at least %v", v.Name, inTime.Min, *least))
	}
	if most := v.Expect.MaxInTime; most != nil && inTime.Max > *most {
		texts = append(texts, fmt.Sprintf("%s: in time %.4f, expected at most %v", v.Name, inTime.Max, *most))
	}
	if least := v.Expect.MinCredit; least != nil && credit.Min < *least {
		texts = append(texts, fmt.Sprintf("%s: credit %.4f, expected at least %v", v.Name, credit.Min, *least))
	}
	return texts
}

// InTimeShare returns the share of the requests of a run that were answered in time.
func InTimeShare(r model.Result) float64 { return share(r.InTime, r.Asked) }

// Credit returns the credit of a run.
func Credit(r model.Result) float64 { return r.Credit }

// share returns n as a share of all, 0 if all is 0.
func share(n, all int) float64 { return float64(n) / float64(max(all, 1)) }

// Spread returns the spread of a figure over the variant's runs.
func (r *VariantReport) Spread(figure func(model.Result) float64) Spread {
	var values []float64
	sum := 0.0
	for _, run := range r.Runs {
		values = append(values, figure(run))
		sum += figure(run)
	}
	return Spread{Mean: sum / float64(len(values)), Min: slices.Min(values), Max: slices.Max(values)}
}
