package coordinator

import (
	"time"

	"hawthornway/catalog"
	"hawthornway/model"
	"hawthornway/placement"
)

// updateForecasts updates when the models of a pool that only the weight store has are
// expected to be loaded. Hosts refuse requests that can't wait for so long at once.
func (c *Coordinator) updateForecasts(pool catalog.Pool, state placement.State) {
	var forecast map[model.Name]time.Time
	if c.knowsAllEngines(pool) {
		forecast = placement.Forecast(state)
	}
	for name, readyAt := range forecast {
		if previous, ok := c.forecasts[name]; !ok || readyAt.Sub(previous).Abs() >= forecastTolerance {
			c.forecasts[name] = readyAt
			c.changedForecasts[name] = true
		}
	}
	for name := range c.forecasts {
		if _, ok := forecast[name]; !ok && pool.Engines.Models[name].Name != "" {
			delete(c.forecasts, name)
			c.changedForecasts[name] = true
		}
	}
	for key, request := range c.loadRequests {
		// Callers that are refused come back when the model is expected. Its load must
		// not be dropped meanwhile because nobody waits for it.
		if readyAt, ok := forecast[key.Model]; ok && key.Pool == pool.Name && request.keepUntil.IsZero() {
			request.keepUntil = readyAt.Add(loadRequestTTL)
		}
	}
}

// knowsAllEngines reports whether each engine of a pool has reported its weights or
// doesn't answer. Before that, a model may seem to be in the weight store only.
func (c *Coordinator) knowsAllEngines(pool catalog.Pool) bool {
	for _, e := range c.engines {
		if e.target.Pool == pool.Name && !e.reported && e.failedReports < maxFailedReports {
			return false
		}
	}
	return true
}

// takeChangedForecasts returns the forecasts that hosts don't know yet.
func (c *Coordinator) takeChangedForecasts(now time.Time) []wireForecast {
	var wire []wireForecast
	for name := range c.changedForecasts {
		w := wireForecast{Model: name}
		if readyAt, ok := c.forecasts[name]; ok {
			w.ReadyIn = max(1, readyAt.Sub(now).Milliseconds())
		}
		wire = append(wire, w)
	}
	clear(c.changedForecasts)
	return wire
}
