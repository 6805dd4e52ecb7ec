; One of three proxies that tell one another who is there. Each has a file of its own: listen is the own address, peers are all
; addresses as they are reached from here, in the same order everywhere.
;   croftlock check --settings deploy/examples/membership.sexp
; A key (any 16 bytes or more, readable by the owner alone) is added as (keys "members.key"); docs/operate-membership.md.

(log (format text) (level info))
(membership
  (on on)
  (fleet "valley")
  (listen "127.0.0.1:7946")
  (peers "127.0.0.1:7946 127.0.0.1:7947 127.0.0.1:7948")
  (base 3)
  (socket "members.sock"))
