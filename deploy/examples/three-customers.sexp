; Rules for three customers, to be put as one version: croftlock rules put deploy/examples/three-customers.sexp --against 0
; Their proxies run with deploy/examples/rules.sexp. docs/operate-rules.md.
;   croftlock rules check deploy/examples/three-customers.sexp

(rules
  (out catalogue-07)
  (refuse night-load (class bulk-import) (advice 2s))
  (pool fast (kinds m2))
  (pool kept (prefixes "k-") (hosts "catalogue-01 catalogue-02"))
  (account library
    (tenants "central-library branch-library")
    (pools "fast main")
    (rate 40) (rate_reserved 20)
    (routes 100) (changes 30)
    (grant admin (key "11qYAYKxCrfVS/7TyWQHOg7hcvPapiMlrwIaaPcHURo=") (verbs "route delegate") (until 2027-12-31)))
  (account library/branches
    (tenants "branch-library")
    (rate 10) (rate_reserved 5))
  (account archive
    (tenants "archive")
    (pools "kept")
    (classes "catalogue-session"))
  (account schools
    (tenants "north-school south-school"))
  (guard closed (class bulk-import) (begin 22:00) (end 06:00) (refuse on) (advice 30s))
  (default rest (zone far) (pool main)))
