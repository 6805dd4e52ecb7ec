package quota

import (
	"math"

	"croftlock/internal/fleet/encoding"
)

const (
	maxAccountsPerMessage = 512 // of a query or a reply
	maxAccountBytes       = 400 // of an account's full name: five names of 64 bytes with separators, and a reserve
)

// demand is what a proxy reports about one account.
type demand struct {
	account    string
	permits    uint64 // expected new connections; each needs a permit
	open       uint64 // open connections
	additional uint64 // expected open connections in addition to the open ones
}

// grant is what a proxy may use of one account until the grant lapses.
type grant struct {
	account string
	permits uint64 // number of permits, for one new connection each, in addition to earlier grants
	maxOpen uint64 // total open connections; replaces earlier grants
}

func encodeDemands(demands []demand) []byte {
	var w encoding.Writer
	w.Uint(uint64(len(demands)))
	for _, d := range demands {
		w.Text(d.account).Uint(d.permits).Uint(d.open).Uint(d.additional)
	}
	return w.Data
}

// decodeDemands decodes demands, and caps their numbers as readCount does. It returns an error if
// there are more than maxAccountsPerMessage.
func decodeDemands(data []byte) (demands []demand, err error) {
	r := encoding.Reader{Data: data}
	for n := r.Count(maxAccountsPerMessage); n > 0; n-- {
		demands = append(demands, demand{account: r.Text(maxAccountBytes), permits: readCount(&r), open: readCount(&r), additional: readCount(&r)})
	}
	return demands, r.Err()
}

// encodeGrants encodes grants in the format of demands: open is 0, and maxOpen stands in the place of
// additional.
func encodeGrants(grants []grant) []byte {
	var w encoding.Writer
	w.Uint(uint64(len(grants)))
	for _, g := range grants {
		w.Text(g.account).Uint(g.permits).Uint(0).Uint(g.maxOpen)
	}
	return w.Data
}

// decodeGrants decodes the grants that encodeGrants encoded.
func decodeGrants(data []byte) ([]grant, error) {
	demands, err := decodeDemands(data)
	grants := make([]grant, len(demands))
	for i, d := range demands {
		grants[i] = grant{account: d.account, permits: d.permits, maxOpen: d.additional}
	}
	return grants, err
}

// readCount reads a number and caps it at math.MaxInt32, so that sums of counts fit an int on every
// platform.
func readCount(r *encoding.Reader) uint64 { return min(r.Uint(), math.MaxInt32) }
