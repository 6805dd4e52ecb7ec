; A site whose lists are pushed to an agent on each machine, whose servers are probed for their load, and whose proxies share
; nothing. All of that comes with the platform's settings: this file holds what its operators choose.
;   croftlock check --settings deploy/examples/pushed-and-probed.sexp

; JSON for a collector. At debug every probe, figure of load and request is a line: for a look, not for a day.
(log (format json) (level info))

(tls (servers off))
