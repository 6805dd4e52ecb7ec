package simulator

import (
	"encoding/json"
	"strings"
	"testing"

	"croftlock/internal/balancer"
)

const initMsg = `{"event_type":"Init","balancer":"B","salt":18446744073709551615,"config":{"new_key":[1],"me":0,` +
	`"peers_total":1,"my_zone":"a","zones":["a"],"step":5000000,"discovery":"automatic",` +
	`"lanes":[{"name":"x","on_time":300000000,"deadline":2000000000,"semantics":"read_like","stream":true}],` +
	`"orgs":[{"name":"t","quota_per_s":2}],"bounds":{"try_limit":4,"cancelling":true,"retry_after":true,` +
	`"max_retry_after":1000000000},"contract":{"cold_from":0.2,"warm_up":1000000000,"fall_multiple":3}}}`

const sheet = `{"event_type":"Directory","sheet":0,"elements":[{"stage_state":"healthy","region_part":"a",` +
	`"capacity_hint":1,"server":"S","type":"k","stripe":0,"novel":1}]}`

const members = `{"event_type":"Membership","balancer":"B","form":"restored","gen":1,"sheet":0}`

func inbound(id string) string {
	return `{"event_type":"Inbound","balancer":"B","request_id":"` + id + `","cls":"x","party":"t","remaining":900000000}`
}

func line(msgs ...string) []byte {
	return []byte(`{"time":1000000000,"msgs":[` + strings.Join(msgs, ",") + `]}`)
}

type action map[string]any

func actions(t *testing.T, out []byte) []action {
	t.Helper()
	var r struct{ Outbox []action }
	if err := json.Unmarshal(out, &r); err != nil {
		t.Fatalf("the reply is no JSON: %v: %s", err, out)
	}
	return r.Outbox
}

func of(actions []action, kind string) []action {
	var found []action
	for _, a := range actions {
		if a["event_type"] == kind {
			found = append(found, a)
		}
	}
	return found
}

func TestRequestStartsAttempt(t *testing.T) {
	a := NewAdapter(balancer.New)
	out, err := a.HandleBatch(line(initMsg, sheet, members, inbound("q")))
	if err != nil {
		t.Fatal(err)
	}
	sends := of(actions(t, out), "Dispatch")
	if len(sends) != 1 || sends[0]["server"] != "S" || sends[0]["request_id"] != "q" || sends[0]["balancer"] != "B" {
		t.Fatalf("expected one Dispatch of q to S: %s", out)
	}
}

func TestEmptyBatch(t *testing.T) {
	out, err := NewAdapter(balancer.New).HandleBatch([]byte(`{"time":5,"msgs":[]}`))
	if err != nil || string(out) != "{\"outbox\":[]}\n" {
		t.Fatalf("%s %v", out, err)
	}
}

func TestSheetReplacedWithinBatch(t *testing.T) {
	a := NewAdapter(balancer.New)
	again := strings.Replace(sheet, `"server":"S"`, `"server":"T"`, 1)
	out, err := a.HandleBatch(line(initMsg, sheet, members, again,
		strings.Replace(members, "restored", "replace", 1), inbound("q")))
	if err != nil {
		t.Fatal(err)
	}
	if s := of(actions(t, out), "Dispatch"); len(s) != 1 || s[0]["server"] != "T" {
		t.Fatalf("the attempt is not at the host of the newer sheet: %s", out)
	}
}

func TestExitAndRestartWithinBatch(t *testing.T) {
	a := NewAdapter(balancer.New)
	exit := `{"event_type":"Exit","balancer":"B"}`
	out, err := a.HandleBatch(line(initMsg, sheet, members, inbound("q"), exit, initMsg, members, inbound("p"),
		`{"event_type":"Response","balancer":"B","request_id":"q","seq_no":0,"server":"S","ending":"INTERNAL"}`))
	if err != nil {
		t.Fatal(err)
	}
	if s := of(actions(t, out), "Dispatch"); len(s) != 2 {
		t.Fatalf("the end of an attempt of the instance before acted on the new one: %s", out)
	}
}

func TestUnknownNamesAreIgnored(t *testing.T) {
	a := NewAdapter(balancer.New)
	if _, err := a.HandleBatch(line(initMsg, sheet, members)); err != nil {
		t.Fatal(err)
	}
	out, err := a.HandleBatch(line(
		`{"event_type":"ClientLeft","balancer":"B","request_id":"nobody"}`,
		`{"event_type":"Response","balancer":"B","request_id":"nobody","server":"nowhere","ending":"OK"}`,
		`{"event_type":"Streaming","balancer":"B","request_id":"nobody","server":"S"}`,
		`{"event_type":"HealthResult","balancer":"B","server":"nowhere","ending":"OK"}`,
		`{"event_type":"Fired","balancer":"B","ref":"nothing"}`))
	if err != nil || len(actions(t, out)) != 0 {
		t.Fatalf("%s %v", out, err)
	}
}

func TestErrorsNameTheFault(t *testing.T) {
	for want, msgs := range map[string][]byte{
		"malformed batch":     []byte(`{"time":1,"msgs":[`),
		"no time":             []byte(`{"msgs":[]}`),
		"unknown event":       line(`{"event_type":"Surprise","balancer":"B"}`),
		"no event_type":       line(`{"balancer":"B"}`),
		"without balancer":    line(`{"event_type":"Fired","ref":"x"}`),
		"without request_id":  line(initMsg, `{"event_type":"Inbound","balancer":"B","cls":"x","remaining":1}`),
		"without cls":         line(initMsg, `{"event_type":"Inbound","balancer":"B","request_id":"q","remaining":1}`),
		"without remaining":   line(initMsg, `{"event_type":"Inbound","balancer":"B","request_id":"q","cls":"x"}`),
		"without config":      line(`{"event_type":"Init","balancer":"B","salt":1}`),
		"has not begun":       line(`{"event_type":"Fired","balancer":"C","ref":"x"}`),
		"not base64":          line(initMsg, `{"event_type":"Memo","balancer":"B","origin_peer":1,"contents":"?"}`),
		"was not sent":        line(initMsg, strings.Replace(members, `"sheet":0`, `"sheet":7`, 1)),
		"settings do not":     line(initMsg, strings.Replace(inbound("q"), `"cls":"x"`, `"cls":"y"`, 1)),
		"ending":              line(initMsg, `{"event_type":"Response","balancer":"B","request_id":"q","server":"S","ending":"HM"}`),
		"no class of request": line(`{"event_type":"Init","balancer":"B","config":{"peers_total":1}}`),
	} {
		out, err := NewAdapter(balancer.New).HandleBatch(msgs)
		if err == nil || !strings.Contains(err.Error(), want) || strings.Contains(err.Error(), "\n") || out != nil {
			t.Errorf("expected an error with %q and no reply, got %v, %s", want, err, out)
		}
	}
}

func TestPanicIsReported(t *testing.T) {
	a := NewAdapter(func(balancer.Config, int64, balancer.Effects) (*balancer.Balancer, error) { return nil, nil })
	out, err := a.HandleBatch(line(initMsg, sheet, members))
	if err != nil {
		t.Fatal(err)
	}
	if b := of(actions(t, out), "Bug"); len(b) != 1 || b[0]["balancer"] != "B" {
		t.Fatalf("expected one Bug of B: %s", out)
	}
}

func TestInstancesDoNotMix(t *testing.T) {
	run := func(others bool) string {
		a := NewAdapter(balancer.New)
		got := ""
		for i := 0; i < 30; i++ {
			msgs := []string{}
			if i == 0 {
				msgs = append(msgs, initMsg, sheet, members)
			}
			msgs = append(msgs, inbound(string(rune('a'+i))))
			if others {
				for _, m := range append([]string{}, msgs...) {
					if m != sheet {
						msgs = append(msgs, strings.ReplaceAll(m, `"balancer":"B"`, `"balancer":"C"`))
					}
				}
			}
			out, err := a.HandleBatch(line(msgs...))
			if err != nil {
				t.Fatal(err)
			}
			for _, action := range actions(t, out) {
				if action["balancer"] == "B" {
					text, _ := json.Marshal(action)
					got += string(text) + "\n"
				}
			}
		}
		return got
	}
	if alone, together := run(false), run(true); alone != together || alone == "" {
		t.Fatalf("actions of B alone, and with another instance in the process:\n%s\n%s", alone, together)
	}
}
