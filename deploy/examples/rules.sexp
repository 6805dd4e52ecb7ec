; One of three proxies whose rules all agree on: membership, on it one owner for each job, and the rules. Each has a file of its own:
; listen is the own address. The three vote, and keep their votes on a disk that lasts: (dir "/var/lib/croftlock"); without dir they go by
; memory. docs/operate-rules.md.
;   croftlock check --settings deploy/examples/rules.sexp

(log (format text) (level info))
(membership
  (on on)
  (fleet "valley")
  (listen "127.0.0.1:7946")
  (peers "127.0.0.1:7946 127.0.0.1:7947 127.0.0.1:7948")
  (base 3)
  (socket "members.sock"))
(owners
  (on on)
  (group "valley")
  (voters "proxy-1 proxy-2 proxy-3")
  (hosts on)
  (pace 20)
  (rules on)
  (agree_within 3s)
  (when_cut refuse)
  (socket "owners.sock"))
