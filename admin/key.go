package admin

import (
	"net/http"

	"github.com/gravitational/trace"

	"hawthornway/key"
	"hawthornway/team"
)

// maxKeys is the maximum number of keys in one request.
const maxKeys = 10_000

type wireGrants struct {
	Keys []wireGrant `json:"keys"`
}

type wireGrant struct {
	// Hash is the SHA-256 of the key. The key itself is not sent.
	Hash key.Hash `json:"hash"`
	ID   key.ID   `json:"id"`
	Team team.ID  `json:"team"`
}

type wireIDs struct {
	IDs []key.ID `json:"ids"`
}

type wireKeys struct {
	Keys []wireKey `json:"keys"`
}

// wireKey is a key without its hash.
type wireKey struct {
	ID   key.ID  `json:"id"`
	Team team.ID `json:"team"`
	key.Times
}

func (h *handler) listKeys(*http.Request) (any, error) {
	wire := wireKeys{Keys: []wireKey{}}
	for _, e := range h.Keys.List() {
		wire.Keys = append(wire.Keys, wireKey{e.ID, e.Team, e.Times})
	}
	return wire, nil
}

func (h *handler) grantKeys(r *http.Request) (any, error) {
	var wire wireGrants
	if err := readJSON(r, maxBodyBytes, &wire); err != nil {
		return nil, err
	}
	if len(wire.Keys) == 0 || len(wire.Keys) > maxKeys {
		return nil, trace.BadParameter("keys must list 1 to %d keys", maxKeys)
	}
	grants := make([]key.Grant, len(wire.Keys))
	ids := make([]key.ID, len(wire.Keys))
	for i, g := range wire.Keys {
		if !h.teamExists(g.Team) {
			return nil, trace.NotFound("team %q does not exist", g.Team)
		}
		grants[i] = key.Grant(g)
		ids[i] = g.ID
	}
	return wireIDs{ids}, trace.Wrap(h.Keys.Grant(r.Context(), grants))
}

func (h *handler) teamExists(id team.ID) bool {
	snapshot := h.Configs.Current()
	if snapshot == nil {
		return false
	}
	_, ok := snapshot.Team(id)
	return ok
}

func (h *handler) withdrawKey(r *http.Request) (any, error) {
	confirmation, err := h.Keys.Withdraw(r.Context(), []key.ID{key.ID(r.PathValue("id"))})
	return confirmation, trace.Wrap(err)
}

func (h *handler) withdrawKeys(r *http.Request) (any, error) {
	var wire wireIDs
	if err := readJSON(r, maxBodyBytes, &wire); err != nil {
		return nil, err
	}
	if len(wire.IDs) == 0 || len(wire.IDs) > maxKeys {
		return nil, trace.BadParameter("ids must list 1 to %d keys", maxKeys)
	}
	confirmation, err := h.Keys.Withdraw(r.Context(), wire.IDs)
	return confirmation, trace.Wrap(err)
}
