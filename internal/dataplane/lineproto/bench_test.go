package lineproto

import (
	"fmt"
	"strings"
	"testing"
)

// BenchmarkParseOpenLine measures a usual first line, and one of nearly the longest length with very many
// short fields, which every client may send.
func BenchmarkParseOpenLine(b *testing.B) {
	usual := "OPEN 0123456789abcdef 0123456789abcdef c=lab,d=4000,g=0123456789abcdef"
	var fields strings.Builder
	for i := 0; fields.Len() < MaxLineBytes-len(usual)-10; i++ {
		fmt.Fprintf(&fields, ",%xz=1", i)
	}
	for name, line := range map[string]string{"usual": usual, "many-fields": usual + fields.String()} {
		b.Run(name, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				if _, err := ParseOpenLine([]byte(line + "\r\n")); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
