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

// servers are the three listeners of a host.
type servers struct {
	callers, operators, peers                      *khttp.Server
	callersAddress, operatorsAddress, peersAddress net.Addr
}

// all returns the listeners in the order of their start.
func (s *servers) all() []*khttp.Server {
	return []*khttp.Server{s.peers, s.operators, s.callers}
}

// internalBounds limit the listeners of operators and peers.
var internalBounds = listener.Bounds{
	HeaderBytes:   32 << 10,
	HeaderTimeout: 5 * time.Second,
	Connections:   1024,
}

// lateHandler is a handler that is set after its listener is bound.
type lateHandler struct{ handler http.Handler }

// ServeHTTP calls the handler.
func (l *lateHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) { l.handler.ServeHTTP(w, r) }

// bindPeers binds the peers' listener. Its handler is set by
// bindCallersAndOperators.
func (h *host) bindPeers() error {
	source, err := h.certificates(h.settings.TLS.Peers)
	if err != nil {
		return trace.Wrap(err)
	}
	h.peerClient = peerClient(source)
	h.peerHandler = &lateHandler{}
	server, address, err := listener.NewServer(h.settings.Listen.Peers, h.peerHandler, internalBounds, serverConfig(source))
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
	operators, address, err := listener.NewServer(h.settings.Listen.Operators, h.operatorRoutes(), internalBounds, serverConfig(source))
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
	routes.Handle("/peer", h.components.peers)
	return routes
}

// callerRoutes serves the callers and the balancer's health checks.
func (h *host) callerRoutes() http.Handler {
	callerHandler := h.components.callerHandler
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
	routes.Handle("/metrics", h.components.metrics.Handler())
	routes.Handle("/readyz", &h.ready)
	routes.HandleFunc("/healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	routes.Handle("/", admin.NewHandler(admin.Dependencies{
		Configs: h.components.configs,
		Keys:    h.components.keys,
		Host:    operatorAPI{h},
		Token:   h.settings.Secrets.OperatorToken,
		Log:     h.options.log,
	}))
	return routes
}
