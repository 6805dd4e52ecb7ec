; A site whose proxies ask discovery themselves and may tell one another; servers tell no load and are not probed. All of that
; comes with the platform's settings: this file holds what its operators choose.
;   croftlock check --settings deploy/examples/ask-and-tell.sexp

; One line an event, repeated ones held back, as many lines as a file of some megabytes a day bears.
(log (format text) (level info))

(tls (servers off))
