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

// servers holds the three HTTP servers of a host.
type servers struct {
	callers, operators, peers                      *khttp.Server
	callersAddress, operatorsAddress, peersAddress net.Addr
}

// all returns the servers in start order.
func (s *servers) all() []*khttp.Server {
	return []*khttp.Server{s.peers, s.operators, s.callers}
}

// internalLimits are the limits of the operator and peer listeners.
var internalLimits = listener.Limits{
	HeaderBytes:   32 << 10,
	HeaderTimeout: 5 * time.Second,
	Connections:   1024,
}

// deferredHandler delegates to a handler that is set after the listener is bound.
type deferredHandler struct{ handler http.Handler }

// ServeHTTP delegates to the handler.
func (d *deferredHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	d.handler.ServeHTTP(w, r)
}

// bindPeers binds the peer listener. Its handler is set once the components
// exist.
func (h *host) bindPeers() error {
	source, err := h.newCertificateSource(h.settings.TLS.Peers)
	if err != nil {
		return trace.Wrap(err)
	}
	h.peerClient = peerClient(source)
	h.peerHandler = &deferredHandler{}
	server, address, err := listener.NewServer(h.settings.Listen.Peers, h.peerHandler, internalLimits, serverConfig(source))
	h.servers.peers, h.servers.peersAddress = server, address
	return trace.Wrap(err)
}

// bindOthers sets the handler of the peer listener and binds the operator and
// caller listeners.
func (h *host) bindOthers() error {
	h.peerHandler.handler = h.peerRoutes()
	source, err := h.newCertificateSource(h.settings.TLS.Operators)
	if err != nil {
		return trace.Wrap(err)
	}
	operators, address, err := listener.NewServer(h.settings.Listen.Operators, h.operatorRoutes(), internalLimits, serverConfig(source))
	if err != nil {
		return trace.Wrap(err)
	}
	h.servers.operators, h.servers.operatorsAddress = operators, address
	callers, address, err := listener.NewServer(h.settings.Listen.Callers, h.callerRoutes(), h.callerLimits(), nil)
	h.servers.callers, h.servers.callersAddress = callers, address
	return trace.Wrap(err)
}

func (h *host) callerLimits() listener.Limits {
	limits := h.settings.Limits
	return listener.Limits{
		HeaderBytes:   int(limits.HeaderBytes),
		HeaderTimeout: limits.HeaderTimeout,
		Connections:   limits.Connections,
		ConnectionAge: limits.ConnectionAge,
		Memory:        h.components.callMemory,
		Log:           h.options.log,
	}
}

func (h *host) peerRoutes() http.Handler {
	routes := http.NewServeMux()
	routes.Handle("/peer", h.components.links)
	return routes
}

// callerRoutes returns the handler of the caller listener, which also serves the
// load balancer's health and readiness checks.
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
		Host:    operatorHost{h},
		Token:   h.settings.Secrets.OperatorToken,
		Log:     h.options.log,
	}))
	return routes
}
