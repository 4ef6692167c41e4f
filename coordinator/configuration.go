package coordinator

import (
	"bytes"
	"compress/flate"
	"context"
	"io"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/gravitational/trace"

	"hawthornway/catalog"
	"hawthornway/fleet"
	"hawthornway/jsonhttp"
	"hawthornway/keyvalue"
	"hawthornway/peer"
)

// Hosts that the store refuses read the configuration from the coordinator, and a
// coordinator whose store has an older one from another host. It is sent in parts,
// compressed, so that views aren't delayed behind it on the coordinator's link, and a host
// whose call timed out continues where it was.
const (
	// configPartBytes is the size of a part. Every host of a fleet may wait for one at
	// the same time.
	configPartBytes = 16 << 10
	// configPartTimeout limits the call for one part, and configReadTime a call of
	// Configuration, after which the store may be tried again.
	configPartTimeout = time.Second
	configReadTime    = 2 * time.Second
)

// wireConfigPartRequest asks for the part of a compressed configuration that begins at an
// offset. The content is zero for the first part.
type wireConfigPartRequest struct {
	Content uint64 `cbor:"content"`
	Offset  int    `cbor:"offset"`
}

// wireConfigPart is a part of the operators' configuration as read from the store.
type wireConfigPart struct {
	Key      string            `cbor:"key"`
	Revision keyvalue.Revision `cbor:"revision"`
	// Content is the hash of the compressed configuration, and Size its size in bytes. If
	// it isn't the requested one, the part is the first one.
	Content uint64 `cbor:"content"`
	Size    int    `cbor:"size"`
	Offset  int    `cbor:"offset"`
	Data    []byte `cbor:"data"`
}

// compressedConfig is the configuration that a Coordinator compressed last.
type compressedConfig struct {
	mu      sync.Mutex
	value   []byte
	data    []byte
	content uint64
}

// of returns a configuration compressed, and the hash of that.
func (c *compressedConfig) of(value []byte) (data []byte, content uint64, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.data != nil && bytes.Equal(c.value, value) {
		return c.data, c.content, nil
	}
	var compressed bytes.Buffer
	w, err := flate.NewWriter(&compressed, flate.BestSpeed)
	if err != nil {
		return nil, 0, trace.Wrap(err)
	}
	if _, err := w.Write(value); err != nil {
		return nil, 0, trace.Wrap(err)
	}
	if err := w.Close(); err != nil {
		return nil, 0, trace.Wrap(err)
	}
	c.value, c.data, c.content = value, compressed.Bytes(), xxhash.Sum64(compressed.Bytes())
	return c.data, c.content, nil
}

// handleConfigPart sends a part of the configuration.
func (c *Coordinator) handleConfigPart(_ context.Context, _ fleet.Member, body []byte) (any, error) {
	var request wireConfigPartRequest
	if err := peer.Decode(body, &request); err != nil {
		return nil, trace.Wrap(err)
	}
	entry, ok := c.configEntry()
	if !ok {
		return nil, trace.NotFound("no configuration is known")
	}
	data, content, err := c.compressed.of(entry.Value)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	offset := request.Offset
	if request.Content != content || offset < 0 || offset > len(data) {
		offset = 0
	}
	return wireConfigPart{
		Key: entry.Key, Revision: entry.Revision, Content: content, Size: len(data),
		Offset: offset, Data: data[offset:min(len(data), offset+configPartBytes)],
	}, nil
}

// recordConfig records the version of a host's configuration. A process that has just
// started may be the coordinator, and the store may have returned from an older copy, so
// that only other hosts have the newest configuration.
func (c *Coordinator) recordConfig(host fleet.HostID, version catalog.Version) {
	known := catalog.Version(0)
	if current := c.catalogs(); current != nil {
		known = current.Version
	}
	if version <= known || version < c.newestConfig {
		return
	}
	if version > c.newestConfig {
		c.log.Info("coordinator: a host has a newer configuration", "host", host, "version", version, "known", known)
	}
	c.newestConfig, c.newestHost = version, host
	c.newerConfig(version)
}

// configHost returns the host that has the newest configuration as far as this
// coordinator knows, or no host.
func (c *Coordinator) configHost() fleet.HostID {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.newestHost
}

// configDownload holds the parts of a configuration that have been received.
type configDownload struct {
	mu       sync.Mutex
	key      string
	revision keyvalue.Revision
	content  uint64
	size     int
	data     []byte
}

// next returns the request for the next part.
func (d *configDownload) next() wireConfigPartRequest {
	return wireConfigPartRequest{Content: d.content, Offset: len(d.data)}
}

// restart makes the next part the first one.
func (d *configDownload) restart() { d.content, d.size, d.data = 0, 0, nil }

// add appends a part. It begins anew if the configuration has changed, and reports
// whether the download is complete.
func (d *configDownload) add(part wireConfigPart) (complete bool, err error) {
	if part.Content != d.content {
		d.content, d.size, d.data = part.Content, part.Size, nil
	}
	d.key, d.revision = part.Key, part.Revision
	if part.Offset != len(d.data) || part.Size != d.size || len(part.Data) == 0 || len(d.data)+len(part.Data) > d.size {
		d.restart()
		return false, trace.BadParameter("part of %d bytes at %d doesn't fit a configuration of %d bytes", len(part.Data), part.Offset, part.Size)
	}
	d.data = append(d.data, part.Data...)
	return len(d.data) == d.size, nil
}

// entry returns the store's entry after a complete download.
func (d *configDownload) entry() (keyvalue.Entry, error) {
	if xxhash.Sum64(d.data) != d.content {
		return keyvalue.Entry{}, trace.BadParameter("configuration doesn't match its hash")
	}
	value, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(d.data)), jsonhttp.DefaultMaxBody+1))
	if err != nil {
		return keyvalue.Entry{}, trace.Wrap(err, "decompress the configuration")
	}
	if len(value) > jsonhttp.DefaultMaxBody {
		return keyvalue.Entry{}, trace.LimitExceeded("configuration is over %d bytes", jsonhttp.DefaultMaxBody)
	}
	return keyvalue.Entry{Key: d.key, Revision: d.revision, Value: value}, nil
}

// Configuration fetches the operators' configuration entry from the coordinator or, if this
// host is the coordinator, from the host that reported the newest version. After an error,
// the next call continues with the part that is missing.
func (c *Client) Configuration(ctx context.Context) (keyvalue.Entry, error) {
	ctx, cancel := context.WithTimeout(ctx, configReadTime)
	defer cancel()
	d := &c.download
	d.mu.Lock()
	defer d.mu.Unlock()
	host := c.knownLeader().Host
	if c.isLeader() {
		host = c.local.configHost()
	}
	if host == "" || host == c.mesh.Self().Host {
		return keyvalue.Entry{}, trace.NotFound("no other host is known to have a configuration")
	}
	for {
		part, err := c.configPart(ctx, host, d.next())
		if err != nil {
			return keyvalue.Entry{}, trace.Wrap(err, "host %s, after %d of %d bytes", host, len(d.data), d.size)
		}
		complete, err := d.add(part)
		if err != nil {
			return keyvalue.Entry{}, trace.Wrap(err)
		}
		if complete {
			entry, err := d.entry()
			d.restart()
			return entry, err
		}
	}
}

func (c *Client) configPart(ctx context.Context, host fleet.HostID, request wireConfigPartRequest) (wireConfigPart, error) {
	ctx, cancel := context.WithTimeout(ctx, configPartTimeout)
	defer cancel()
	var part wireConfigPart
	return part, trace.Wrap(c.mesh.Call(ctx, host, kindConfigPart, request, &part))
}
