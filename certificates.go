package hawthornway

import (
	"crypto/tls"

	"hawthornway/settings"
)

// peerTLS and operatorTLS return the listeners' TLS, or nil if it is off.
func peerTLS(settings.Files) (*tls.Config, error)     { return nil, nil }
func operatorTLS(settings.Files) (*tls.Config, error) { return nil, nil }
