package fragment

import (
	"reflect"
	"testing"
)

func TestDatagramsRoundTrip(t *testing.T) {
	sent := piece{messageID{7, 8}, 2, 300, []byte("body")}
	if got, ok := decodePiece(sent.append(nil)); !ok || !reflect.DeepEqual(got, sent) {
		t.Errorf("piece: %+v", got)
	}
	received := make([]bool, 19)
	received[0], received[8], received[18] = true, true, true
	got, ok := decodeAck(ack{messageID{7, 8}, newBitmap(received)}.append(nil))
	if !ok || got.message != (messageID{7, 8}) {
		t.Errorf("ack: %+v", got)
	}
	for i, want := range received {
		if got.bitmap.isSet(i) != want {
			t.Errorf("bit %d is %t", i, !want)
		}
	}
	if got.bitmap.isSet(24) {
		t.Error("a bit beyond the end is set")
	}
}

func TestInvalidPieces(t *testing.T) {
	for name, p := range map[string]piece{
		"index beyond the count": {index: 3, count: 3, body: []byte("x")},
		"a single piece":         {index: 0, count: 1, body: []byte("x")},
		"no body":                {index: 0, count: 2},
		"too long a message":     {index: 0, count: 65535, body: make([]byte, 200)},
	} {
		if _, ok := decodePiece(p.append(nil)); ok {
			t.Errorf("%s: accepted", name)
		}
	}
}
