"""Fault reports from logs: a bench's output and a lab's folder of log files."""

from coveflow.lab import timeline as tl

LINES = """\
    9.9000 host-0 2026-09-21 14:13:29,900 INFO coveflow.membership taking over epoch=1
   10.0000 host-0 2026-09-21 14:13:30,000 INFO coveflow.owner leading epoch=1 jobs=0 machines=0
   11.0000 host-0 2026-09-21 14:13:31,000 INFO coveflow.owner job taken in job=j-1 tasks=4 \
workload=tally cpus=2 spot=True team=blue due_s=20
   11.2000 host-0 2026-09-21 14:13:31,200 INFO coveflow.owner tasks placed job=j-1 tasks=4
   21.0000 host-1 2026-09-21 14:13:41,000 INFO coveflow.peers doubt node=host-0 why=silent by=host-1
   21.7000 host-1 2026-09-21 14:13:41,700 INFO coveflow.membership taking over epoch=2
   21.7500 host-1 2026-09-21 14:13:41,750 INFO coveflow.owner view epoch=2 leader=host-1
   21.8000 host-1 2026-09-21 14:13:41,800 INFO coveflow.owner leading epoch=2 jobs=1 machines=3 \
waiting=1
   21.9000 host-1 2026-09-21 14:13:41,900 INFO coveflow.owner first report epoch=2 after_s=0.1
   22.5000 host-1 2026-09-21 14:13:42,500 INFO coveflow.owner tasks placed job=j-1 tasks=1
   23.0000 host-0 2026-09-21 14:13:43,000 INFO coveflow.owner machine goes back machine=n-1 \
why="silent, or work on it does not end"
   24.0000 host-1 2026-09-21 14:13:44,000 INFO coveflow.owner attempt ended task=j-1/0 \
number=1 machine=n-2 why="the machine's lease ran out"
   25.0000 host-1 2026-09-21 14:13:45,000 INFO coveflow.owner machine goes back machine=n-2 \
why="silent, or work on it does not end"
   30.0000 host-1 2026-09-21 14:13:50,000 INFO coveflow.owner all tasks done job=j-1 after_s=19
   30.1000 host-1 2026-09-21 14:13:50,100 INFO coveflow.owner job over job=j-1 status=done
Traceback (most recent call last):
"""


def test_fault_report_covers_first_doubt_to_first_placement(tmp_path):
    log = tmp_path / "day.log"
    log.write_text(LINES)
    report = tl.report(tl.read([log]), [(20.0, "node_crash")])
    (fault,) = report["faults"]
    assert (fault["doubt"], fault["verdict"], fault["read"]) == (1.0, 1.7, 1.8)
    assert (fault["first_report"], fault["decision"]) == (1.9, 2.5)
    assert fault["gap"] == 0.7  # from the new leader's count of waiting tasks
    # A return logged by a deposed leader is not counted: it checks with the store and does none.
    assert (fault["lost"], fault["returned"], report["returned"]) == (1, 1, 1)
    assert report["served"]["tally"] == {
        "jobs": 1, "started": 1, "done": 1, "cancelled": 0, "due": 1, "in_time": 1,
        "begin_s": 0.2,
    }  # fmt: skip


def test_lab_folder_is_read_by_log_file(tmp_path):
    for line in LINES.splitlines():
        if " host-" in line:
            name, rest = line.split()[1], line.split(None, 2)[2]
            with (tmp_path / f"{name}.log").open("a") as log:
                log.write(rest + "\n")
    report = tl.report(tl.read([tmp_path]), [])
    assert [fault["fault"] for fault in report["faults"]] == ["the lead changes"]
    assert report["faults"][0]["decision"] == 0.8


def test_late_start_or_loss_of_largest_jobs_is_underserved():
    rows = [
        tl.Event(float(i), "h", "job taken in",
                 {"job": f"j-{i}", "tasks": str(i), "workload": "tally", "team": "blue"})
        for i in range(1, 21)
    ]  # fmt: skip
    for i in range(1, 21):
        rows.append(tl.Event(i + 1.0, "h", "tasks placed", {"job": f"j-{i}", "tasks": "1"}))
        rows.append(tl.Event(300.0, "h", "job over", {"job": f"j-{i}", "status": "done"}))
    assert tl.service_shares(rows)["largest tally"].jobs == 2
    assert tl.underserved(tl.service_shares(rows), 0.5) == []
    late = [e for e in rows if not (e.name == "tasks placed" and e.fields["job"] == "j-20")]
    assert tl.underserved(tl.service_shares(late), 0.5) == ["largest tally"]
    lost = [e for e in rows if not (e.name == "job over" and e.fields["job"] in ("j-19", "j-20"))]
    assert tl.underserved(tl.service_shares(lost), 0.5) == ["largest tally"]


def test_job_cancelled_before_start_needs_no_final_log_line():
    taken = {"job": "j-1", "tasks": "1", "workload": "tally", "team": "blue"}
    rows = [
        tl.Event(1.0, "h", "job taken in", taken),
        tl.Event(1.1, "h", "job cancelled", {"job": "j-1", "waiting": "1"}),
        tl.Event(900.0, "h", "view", {}),
    ]
    shares = tl.service_shares(rows)
    assert shares["tally"].cancelled == 1
    assert tl.underserved(shares, 0.5) == []
    # Without the cancellation's line the job waits until the end of the log.
    assert tl.service_shares([rows[0], rows[2]])["tally"].begin_s == 899.0
