; All workers report to the leader, as before homes (docs/notes/handover.md).
(coveflow
  (homes no))
