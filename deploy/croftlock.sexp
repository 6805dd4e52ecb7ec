; The operators' own settings of croftlock. Named by --settings or CROFTLOCK_SETTINGS; without either the program is as
; if every section were left out. `croftlock settings show` prints every setting with its default, `croftlock check` says
; what is wrong. The platform's `run` line names no file: this one is the start of another installation's.

(log (format text) (level info))

; This platform's servers speak plain TCP. Elsewhere: docs/operate-tls.md.
(tls (servers off))
