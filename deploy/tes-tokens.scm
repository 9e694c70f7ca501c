; Clients of the task execution API; `coveflow tes token NAME --team TEAM` makes an entry.
(tokens)
