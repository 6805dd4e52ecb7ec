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

const directoryMsg = `{"event_type":"Directory","sheet":0,"elements":[{"stage_state":"healthy","region_part":"a",` +
	`"capacity_hint":1,"server":"S","type":"k","stripe":0,"novel":1}]}`

const membershipMsg = `{"event_type":"Membership","balancer":"B","form":"restored","gen":1,"sheet":0}`

// inboundMsg returns the message of a request that arrives at balancer B.
func inboundMsg(id string) string {
	return `{"event_type":"Inbound","balancer":"B","request_id":"` + id + `","cls":"x","party":"t","remaining":900000000}`
}

// batchLine returns the line of a batch with the given messages.
func batchLine(msgs ...string) []byte {
	return []byte(`{"time":1000000000,"msgs":[` + strings.Join(msgs, ",") + `]}`)
}

// action is one action of a reply, by field name.
type action map[string]any

// actions parses the actions of a reply.
func actions(t *testing.T, out []byte) []action {
	t.Helper()
	var r struct{ Outbox []action }
	if err := json.Unmarshal(out, &r); err != nil {
		t.Fatalf("the reply is not valid JSON: %v: %s", err, out)
	}
	return r.Outbox
}

// actionsOfType returns the actions whose event_type is kind.
func actionsOfType(actions []action, kind string) []action {
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
	out, err := a.HandleBatch(batchLine(initMsg, directoryMsg, membershipMsg, inboundMsg("q")))
	if err != nil {
		t.Fatal(err)
	}
	sends := actionsOfType(actions(t, out), "Dispatch")
	if len(sends) != 1 || sends[0]["server"] != "S" || sends[0]["request_id"] != "q" || sends[0]["balancer"] != "B" {
		t.Fatalf("reply = %s, want one Dispatch of q to S", out)
	}
}

func TestEmptyBatch(t *testing.T) {
	out, err := NewAdapter(balancer.New).HandleBatch([]byte(`{"time":5,"msgs":[]}`))
	if err != nil || string(out) != "{\"outbox\":[]}\n" {
		t.Fatalf("empty batch: reply %q, error %v, want an empty outbox", out, err)
	}
}

// TestSheetReplacedWithinBatch guards against attempts at hosts of an endpoint list that a later message
// of the same batch has replaced.
func TestSheetReplacedWithinBatch(t *testing.T) {
	a := NewAdapter(balancer.New)
	again := strings.Replace(directoryMsg, `"server":"S"`, `"server":"T"`, 1)
	out, err := a.HandleBatch(batchLine(initMsg, directoryMsg, membershipMsg, again,
		strings.Replace(membershipMsg, "restored", "replace", 1), inboundMsg("q")))
	if err != nil {
		t.Fatal(err)
	}
	if s := actionsOfType(actions(t, out), "Dispatch"); len(s) != 1 || s[0]["server"] != "T" {
		t.Fatalf("reply = %s, want one Dispatch to T, the host of the newer sheet", out)
	}
}

// TestExitAndRestartWithinBatch guards against an instance that acts on the end of an attempt of the
// earlier instance of the same name.
func TestExitAndRestartWithinBatch(t *testing.T) {
	a := NewAdapter(balancer.New)
	exit := `{"event_type":"Exit","balancer":"B"}`
	out, err := a.HandleBatch(batchLine(initMsg, directoryMsg, membershipMsg, inboundMsg("q"), exit, initMsg, membershipMsg, inboundMsg("p"),
		`{"event_type":"Response","balancer":"B","request_id":"q","seq_no":0,"server":"S","ending":"INTERNAL"}`))
	if err != nil {
		t.Fatal(err)
	}
	if s := actionsOfType(actions(t, out), "Dispatch"); len(s) != 2 {
		t.Fatalf("%d Dispatch actions, want 2: the new instance acted on an attempt of the earlier one: %s", len(s), out)
	}
}

func TestUnknownNamesAreIgnored(t *testing.T) {
	a := NewAdapter(balancer.New)
	if _, err := a.HandleBatch(batchLine(initMsg, directoryMsg, membershipMsg)); err != nil {
		t.Fatal(err)
	}
	out, err := a.HandleBatch(batchLine(
		`{"event_type":"ClientLeft","balancer":"B","request_id":"nobody"}`,
		`{"event_type":"Response","balancer":"B","request_id":"nobody","server":"nowhere","ending":"OK"}`,
		`{"event_type":"Streaming","balancer":"B","request_id":"nobody","server":"S"}`,
		`{"event_type":"HealthResult","balancer":"B","server":"nowhere","ending":"OK"}`,
		`{"event_type":"Fired","balancer":"B","ref":"nothing"}`))
	if err != nil || len(actions(t, out)) != 0 {
		t.Fatalf("events with unknown names: reply %s, error %v, want no action", out, err)
	}
}

func TestErrorsNameTheFault(t *testing.T) {
	for want, msgs := range map[string][]byte{
		"malformed batch":     []byte(`{"time":1,"msgs":[`),
		"no time":             []byte(`{"msgs":[]}`),
		"unknown event":       batchLine(`{"event_type":"Surprise","balancer":"B"}`),
		"no event_type":       batchLine(`{"balancer":"B"}`),
		"without balancer":    batchLine(`{"event_type":"Fired","ref":"x"}`),
		"without request_id":  batchLine(initMsg, `{"event_type":"Inbound","balancer":"B","cls":"x","remaining":1}`),
		"without cls":         batchLine(initMsg, `{"event_type":"Inbound","balancer":"B","request_id":"q","remaining":1}`),
		"without remaining":   batchLine(initMsg, `{"event_type":"Inbound","balancer":"B","request_id":"q","cls":"x"}`),
		"without config":      batchLine(`{"event_type":"Init","balancer":"B","salt":1}`),
		"has not begun":       batchLine(`{"event_type":"Fired","balancer":"C","ref":"x"}`),
		"not base64":          batchLine(initMsg, `{"event_type":"Memo","balancer":"B","origin_peer":1,"contents":"?"}`),
		"was not sent":        batchLine(initMsg, strings.Replace(membershipMsg, `"sheet":0`, `"sheet":7`, 1)),
		"settings do not":     batchLine(initMsg, strings.Replace(inboundMsg("q"), `"cls":"x"`, `"cls":"y"`, 1)),
		"ending":              batchLine(initMsg, `{"event_type":"Response","balancer":"B","request_id":"q","server":"S","ending":"HM"}`),
		"no class of request": batchLine(`{"event_type":"Init","balancer":"B","config":{"peers_total":1}}`),
	} {
		out, err := NewAdapter(balancer.New).HandleBatch(msgs)
		if err == nil || !strings.Contains(err.Error(), want) || strings.Contains(err.Error(), "\n") || out != nil {
			t.Errorf("HandleBatch(%s): error %v, reply %q, want an error with %q and no reply", msgs, err, out, want)
		}
	}
}

// TestPanicIsReported guards against a crash of the process by the panic of one instance. The nil
// balancer panics at its first event.
func TestPanicIsReported(t *testing.T) {
	a := NewAdapter(func(balancer.Config, int64, balancer.Effects) (*balancer.Balancer, error) { return nil, nil })
	out, err := a.HandleBatch(batchLine(initMsg, directoryMsg, membershipMsg))
	if err != nil {
		t.Fatal(err)
	}
	if b := actionsOfType(actions(t, out), "Bug"); len(b) != 1 || b[0]["balancer"] != "B" {
		t.Fatalf("reply = %s, want one Bug of B", out)
	}
}

// TestInstancesDoNotMix guards against state that instances of one process share: the actions of B are
// the same with and without a second instance.
func TestInstancesDoNotMix(t *testing.T) {
	run := func(others bool) string {
		a := NewAdapter(balancer.New)
		got := ""
		for i := 0; i < 30; i++ {
			msgs := []string{}
			if i == 0 {
				msgs = append(msgs, initMsg, directoryMsg, membershipMsg)
			}
			msgs = append(msgs, inboundMsg(string(rune('a'+i))))
			if others {
				for _, m := range append([]string{}, msgs...) {
					if m != directoryMsg {
						msgs = append(msgs, strings.ReplaceAll(m, `"balancer":"B"`, `"balancer":"C"`))
					}
				}
			}
			out, err := a.HandleBatch(batchLine(msgs...))
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
		t.Fatalf("actions of B differ, or are missing. Alone:\n%s\nwith another instance in the process:\n%s", alone, together)
	}
}
