package peer

import (
	"bytes"
	"reflect"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

func TestFramesRoundTrip(t *testing.T) {
	body, err := Encode("body")
	must.NoError(t, err)
	cases := []message{
		hello{Version: 1, Member: wireMember{Host: "a"}, Nonce: []byte{1}},
		proof{mac: []byte{1, 2}},
		heartbeat{},
		request{7, "echo", 1500 * time.Millisecond, body},
		response{7, "echo", body},
		refusal{7, "echo", "no"},
		notice{"echo", body},
	}
	for _, m := range cases {
		frame, err := encodeFrame(m)
		must.NoError(t, err)
		got, err := decodeFrame(frame)
		must.NoError(t, err)
		must.True(t, reflect.DeepEqual(m, got), must.Sprintf("%T", m))
	}
}

func TestDecodeFrameRefuses(t *testing.T) {
	deep := append(bytes.Repeat([]byte{0x81}, maxNestedLevels+1), 0x01)
	cases := []struct {
		name  string
		frame []byte
	}{
		{"empty", nil},
		{"no array", []byte{0x01}},
		{"empty array", []byte{0x80}},
		{"missing elements", []byte{0x81, byte(frameRequest)}},
		{"trailing bytes", []byte{0x81, byte(frameHeartbeat), 0x00}},
		{"indefinite length", []byte{0x9f, byte(frameHeartbeat), 0xff}},
		{"nested too deeply", deep},
		{"array of many elements", []byte{0x9a, 0x7f, 0xff, 0xff, 0xff}},
		{"duplicate keys", []byte{
			0x82, byte(frameHello), 0xa2,
			0x67, 'v', 'e', 'r', 's', 'i', 'o', 'n', 0x01,
			0x67, 'v', 'e', 'r', 's', 'i', 'o', 'n', 0x02,
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			_, err := decodeFrame(c.frame)
			must.Error(t, err)
		})
	}
}

func TestNewerFramesAreSkipped(t *testing.T) {
	frame, err := Encode([]any{200, "from a newer version"})
	must.NoError(t, err)
	m, err := decodeFrame(frame)
	must.NoError(t, err)
	must.Nil(t, m)
	frame, err = Encode([]any{frameHeartbeat, "new element"})
	must.NoError(t, err)
	m, err = decodeFrame(frame)
	must.NoError(t, err)
	must.Eq[message](t, heartbeat{}, m)
}

func FuzzDecodeFrame(f *testing.F) {
	f.Add([]byte{0x81, byte(frameHeartbeat)})
	f.Fuzz(func(_ *testing.T, frame []byte) {
		_, _ = decodeFrame(frame)
	})
}
