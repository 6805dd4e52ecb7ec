package fragment

import (
	"reflect"
	"testing"
)

// TestDatagramsRoundTrip checks that a piece and an ack decode to what was encoded.
func TestDatagramsRoundTrip(t *testing.T) {
	sent := piece{messageID{7, 8}, 2, 300, []byte("body")}
	if got, ok := decodePiece(sent.append(nil)); !ok || !reflect.DeepEqual(got, sent) {
		t.Errorf("decodePiece = %+v, %t, want %+v", got, ok, sent)
	}
	received := make([]bool, 19)
	received[0], received[8], received[18] = true, true, true
	got, ok := decodeAck(ack{messageID{7, 8}, newBitmap(received)}.append(nil))
	if !ok || got.message != (messageID{7, 8}) {
		t.Errorf("decodeAck = %+v, %t, want the message %+v", got, ok, messageID{7, 8})
	}
	for i, want := range received {
		if got.bitmap.isSet(i) != want {
			t.Errorf("isSet(%d) = %t, want %t", i, !want, want)
		}
	}
	if got.bitmap.isSet(24) {
		t.Error("isSet(24) = true for a bit beyond the end, want false")
	}
}

// TestInvalidPieces checks that decodePiece rejects malformed pieces and pieces of messages that
// are too long.
func TestInvalidPieces(t *testing.T) {
	for name, p := range map[string]piece{
		"index beyond the count": {index: 3, count: 3, body: []byte("x")},
		"a single piece":         {index: 0, count: 1, body: []byte("x")},
		"no body":                {index: 0, count: 2},
		"too long a message":     {index: 0, count: 65535, body: make([]byte, 200)},
	} {
		if _, ok := decodePiece(p.append(nil)); ok {
			t.Errorf("%s: decodePiece accepted %+v, want it rejected", name, p)
		}
	}
}
