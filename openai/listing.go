package openai

import (
	"encoding/json"
	"net/http"

	"hawthornway/call"
	"hawthornway/model"
	"hawthornway/outcome"
)

type listing struct {
	Object string         `json:"object"`
	Data   []listingModel `json:"data"`
}

type listingModel struct {
	ID      model.Name `json:"id"`
	Object  string     `json:"object"`
	Created int64      `json:"created"`
	OwnedBy string     `json:"owned_by"`
}

// List responds to a call with the names of models and adapters.
func List(c *call.Call, names []model.Name) outcome.Outcome {
	body := listing{Object: "list", Data: []listingModel{}}
	for _, name := range names {
		body.Data = append(body.Data, listingModel{ID: name, Object: "model", OwnedBy: "hawthornway"})
	}
	text, err := json.Marshal(body)
	if err != nil {
		panic("openai: encode model list: " + err.Error())
	}
	c.Writer.Header().Set("Content-Type", "application/json")
	c.Writer.Header().Set(call.HeaderOutcome, outcome.Served{}.Header())
	c.Writer.WriteHeader(http.StatusOK)
	if _, err := c.Writer.Write(text); err != nil {
		return outcome.Unknown{Reason: outcome.ReasonCallerLeft}
	}
	return outcome.Served{}
}
