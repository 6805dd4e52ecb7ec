package admin

import (
	"net/http"
	"strconv"
)

// response is the answer to a call.
type response struct {
	status   int
	allow    methods // value of the Allow header; nil if there is none
	body     []byte  // if nil, the status text is sent
	omitBody bool    // for HEAD: the body is counted in Content-Length but not sent
}

// encode returns the response in HTTP/1.1.
func (r response) encode() []byte {
	body := r.body
	if body == nil {
		body = []byte(http.StatusText(r.status) + "\n")
	}
	out := []byte("HTTP/1.1 " + strconv.Itoa(r.status) + " " + http.StatusText(r.status) +
		"\r\nContent-Type: text/plain; charset=utf-8\r\nCache-Control: no-store\r\n")
	if len(r.allow) > 0 {
		out = append(out, "Allow: "+r.allow.String()+"\r\n"...)
	}
	out = append(out, "Content-Length: "+strconv.Itoa(len(body))+"\r\nConnection: close\r\n\r\n"...)
	if !r.omitBody {
		out = append(out, body...)
	}
	return out
}
