package hawthornway

import (
	"net"
	"net/http"
	"time"

	khttp "github.com/go-kratos/kratos/v2/transport/http"
	"github.com/gravitational/trace"

	"hawthornway/admin"
	"hawthornway/listener"
)

// servers are the three servers of a host, with the addresses they listen on.
type servers struct {
	callers, operators, peers                      *khttp.Server
	callersAddress, operatorsAddress, peersAddress net.Addr
}

// all returns the servers in the order in which they are started.
func (s *servers) all() []*khttp.Server {
	return []*khttp.Server{s.peers, s.operators, s.callers}
}

// operatorBounds are the limits of the operators' and the peers' listeners.
var operatorBounds = listener.Bounds{
	HeaderBytes:   32 << 10,
	HeaderTimeout: 5 * time.Second,
	Connections:   1024,
}

// lateHandler passes requests to a handler that is set after the listener is
// bound, but before it is served.
type lateHandler struct{ handler http.Handler }

// ServeHTTP implements http.Handler.
func (l *lateHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) { l.handler.ServeHTTP(w, r) }

// bindPeers binds the peers' listener. Its handler is set by
// bindCallersAndOperators, when the parts exist.
func (h *host) bindPeers() error {
	source, err := h.certificates(h.settings.TLS.Peers)
	if err != nil {
		return trace.Wrap(err)
	}
	h.peerClient = peerClient(source)
	h.peerHandler = &lateHandler{}
	server, address, err := listener.NewServer(h.settings.Listen.Peers, h.peerHandler, operatorBounds, serverConfig(source))
	h.servers.peers, h.servers.peersAddress = server, address
	return trace.Wrap(err)
}

// bindCallersAndOperators sets the peers' handler and binds the listeners of
// callers and operators.
func (h *host) bindCallersAndOperators() error {
	h.peerHandler.handler = h.peerRoutes()
	source, err := h.certificates(h.settings.TLS.Operators)
	if err != nil {
		return trace.Wrap(err)
	}
	operators, address, err := listener.NewServer(h.settings.Listen.Operators, h.operatorRoutes(), operatorBounds, serverConfig(source))
	if err != nil {
		return trace.Wrap(err)
	}
	h.servers.operators, h.servers.operatorsAddress = operators, address
	callers, address, err := listener.NewServer(h.settings.Listen.Callers, h.callerRoutes(), h.callerBounds(), nil)
	h.servers.callers, h.servers.callersAddress = callers, address
	return trace.Wrap(err)
}

func (h *host) callerBounds() listener.Bounds {
	limits := h.settings.Limits
	return listener.Bounds{
		HeaderBytes:   int(limits.HeaderBytes),
		HeaderTimeout: limits.HeaderTimeout,
		Connections:   limits.Connections,
		ConnectionAge: limits.ConnectionAge,
	}
}

func (h *host) peerRoutes() http.Handler {
	routes := http.NewServeMux()
	routes.Handle("/peer", h.parts.links)
	return routes
}

// callerRoutes returns the handler of the callers' listener, which also serves the
// balancer's checks.
func (h *host) callerRoutes() http.Handler {
	callerHandler := h.parts.callerHandler
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch r.URL.Path {
		case "/healthz":
			w.WriteHeader(http.StatusOK)
		case "/readyz":
			h.ready.ServeHTTP(w, r)
		default:
			callerHandler.ServeHTTP(w, r)
		}
	})
}

func (h *host) operatorRoutes() http.Handler {
	routes := http.NewServeMux()
	routes.Handle("/metrics", h.parts.metrics.Handler())
	routes.Handle("/readyz", &h.ready)
	routes.HandleFunc("/healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	routes.Handle("/", admin.NewHandler(admin.Dependencies{
		Configs: h.parts.configs,
		Keys:    h.parts.keys,
		Host:    operatorAPI{h},
		Token:   h.settings.Secrets.OperatorToken,
		Log:     h.options.log,
	}))
	return routes
}
