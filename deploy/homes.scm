; Reports go to nodes of the machine's zone, which carry them to the leader (docs/notes/handover.md).
(coveflow
  (homes yes))
