; Membership, and on it floors: a host gets nothing new once one proxy's list says that it drains or is gone. Checked by
;   croftlock check --settings deploy/examples/floors.sexp
; docs/operate-floors.md.
(membership
  (on on)
  (fleet branches)
  (listen "10.1.0.11:7946")
  (peers "10.1.0.11:7946 10.1.0.12:7946 10.1.0.13:7946"))
(floors
  (on on)
  (source discovery)
  (within 2s))
