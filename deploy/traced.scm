; Operators' settings that turn the trace on: the newest events that a recorder may still ask for.
; Two hours of a busy evening on 500 machines are about 200,000 events at 250 bytes each; a recorder
; that follows needs the events of its own pauses only.
(coveflow
  (trace 20000))
