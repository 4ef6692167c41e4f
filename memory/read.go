package memory

import "io"

// ReadAll reads to the end, up to a limit, into a buffer that grows while memory is lent. The first
// buffer, of first bytes, needs none. ReadAll reports whether it stopped because of the limit or for
// want of memory, which leaves the rest unread.
func ReadAll(from io.Reader, lend func(Bytes) bool, giveBack func(Bytes), first, limit int) (body []byte, full bool, err error) {
	body = make([]byte, 0, min(limit, first))
	lent := Bytes(0)
	for {
		if len(body) == cap(body) {
			// While the body is copied, there are two buffers.
			grown := min(limit, 2*cap(body))
			if grown <= cap(body) || !lend(Bytes(grown)) {
				return body, true, nil
			}
			body = append(make([]byte, 0, grown), body...)
			giveBack(lent)
			lent = Bytes(grown)
		}
		n, err := from.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		switch err {
		case nil:
		case io.EOF:
			return body, false, nil
		default:
			return body, false, err
		}
	}
}
