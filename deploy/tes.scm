; Operators' settings that serve the GA4GH task execution API (docs/operators/tasks.md). Make the
; certificate and the tokens first: a controller does not start without the files that are named here.
(coveflow
  (tes
    (port 8090)
    (tokens tes-tokens.scm)
    (certificate tes-cert.pem)
    (key tes-key.pem)))
