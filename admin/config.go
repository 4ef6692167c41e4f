package admin

import (
	"net/http"
	"time"

	"github.com/gravitational/trace"

	"hawthornway/config"
)

type wireFile struct {
	Name string `json:"name"`
	Data string `json:"data"`
}

type wireSubmission struct {
	Files  []wireFile      `json:"files"`
	Base   config.Revision `json:"base"`
	Change config.ChangeID `json:"change"`
	Author config.Author   `json:"author"`
}

type wireConfig struct {
	Revision   config.Revision `json:"revision"`
	Author     config.Author   `json:"author,omitempty"`
	AcceptedAt time.Time       `json:"accepted-at,omitzero"`
	// AgeMS is the time since the host last confirmed that the configuration
	// is current, in milliseconds; -1 if it is not known.
	AgeMS int64      `json:"age-ms"`
	Files []wireFile `json:"files"`
}

type wireHistory struct {
	Changes []config.Accepted `json:"changes"`
}

func (h *handler) apply(r *http.Request) (any, error) {
	var wire wireSubmission
	if err := readJSON(r, maxConfigBodyBytes, &wire); err != nil {
		return nil, err
	}
	submission := config.Submission{Base: wire.Base, Change: wire.Change, Author: wire.Author}
	for _, f := range wire.Files {
		submission.Files = append(submission.Files, config.File{Name: f.Name, Data: []byte(f.Data)})
	}
	accepted, err := h.Configs.Apply(r.Context(), submission)
	return accepted, trace.Wrap(err)
}

func (h *handler) config(*http.Request) (any, error) {
	snapshot := h.Configs.Current()
	if snapshot == nil {
		return wireConfig{Files: []wireFile{}}, nil
	}
	wire := wireConfig{
		Revision:   snapshot.Revision(),
		Author:     snapshot.Author(),
		AcceptedAt: snapshot.AcceptedAt(),
		AgeMS:      AgeMS(h.Configs.Age()),
		Files:      []wireFile{},
	}
	for _, f := range snapshot.Files() {
		wire.Files = append(wire.Files, wireFile{f.Name, string(f.Data)})
	}
	return wire, nil
}

// AgeMS returns the age of a configuration in milliseconds, or -1 for
// config.AgeUnknown.
func AgeMS(age time.Duration) int64 {
	if age == config.AgeUnknown {
		return -1
	}
	return age.Milliseconds()
}

func (h *handler) history(*http.Request) (any, error) {
	return wireHistory{h.Configs.History()}, nil
}
