"""Generated faults of machines and the network on whole nodes, and planted bugs that show."""

import pytest

from coveflow.core import redirects
from coveflow.core.answer_receipt import AnswerReceipt
from coveflow.daemon.direct_requests import DirectRequests
from coveflow.daemon.machine_manager import MachineManager
from coveflow.daemon.user_jobs import UserJobs
from coveflow.lab import worlds
from coveflow.lab.cases import Case, InjectedFault
from coveflow.net.http import Unavailable


@pytest.mark.parametrize("seed", range(24))
def test_no_rule_breaks_and_all_work_finishes(seed):
    result = worlds.play(worlds.nights(seed))
    assert not result.broken and not result.unfinished and not result.failures


def play_case(*faults: InjectedFault, **more) -> worlds.CaseResult:
    return worlds.play(Case("nights", 3, "test", faults=faults, polls=True, **more))


def test_checker_detects_a_job_that_no_node_answers_about(monkeypatch):
    """The checker looks at each job, so answers about other jobs do not hide it."""
    real = UserJobs.find

    async def find_or_fail(self, name):
        if name == "j-000007":
            raise Unavailable("its record can't be read")
        return await real(self, name)

    monkeypatch.setattr(UserJobs, "find", find_or_fail)
    assert "forgotten: no answer about j-000007" in play_case(run_s=6.0).broken


def test_machines_of_a_zone_that_receives_nothing_are_not_returned(monkeypatch):
    """Without the check for many such machines the leader would return them as silent."""
    cut = InjectedFault(0.0, "deaf", ("zone",), 30.0)
    result = play_case(cut, run_s=15.0)
    assert (result.broken, result.returned, result.deaf) == ("", 0, 0)
    monkeypatch.setattr(
        "coveflow.membership.report_batches.BatchSender.add_redirected", lambda *_: None
    )
    monkeypatch.setattr(MachineManager, "_many_not_receiving", lambda self: (set(), 100))
    assert play_case(cut, run_s=15.0).returned > 2


def test_tasks_of_a_machine_that_receives_nothing_run_elsewhere(monkeypatch):
    """They move once its session has ended, and stay there; undetected, more attempts are lost."""
    deaf = InjectedFault(0.0, "deaf", ("one",), 90.0)
    detected = play_case(deaf, run_s=20.0)
    assert detected.deaf == 1 and not detected.returned
    monkeypatch.setattr(AnswerReceipt, "record_report", lambda *_: False)
    assert play_case(deaf, run_s=20.0).lost > detected.lost


def test_a_node_without_store_and_peers_redirects_its_workers(monkeypatch):
    """Otherwise the workers stay with it, and the leader learns late of the tasks that ended."""
    sever = InjectedFault(0.0, "sever", ("leader",), 24.0)
    result = play_case(sever, run_s=3.0)
    assert (result.broken, result.lost, result.returned) == ("", 0, 0)
    monkeypatch.setattr(redirects, "untried_zone_node", lambda machine, contact, mates, now: "")
    # Machines that the leader reaches directly are not returned, but their ends are known later.
    assert play_case(sever, run_s=3.0).whole_s > result.whole_s + 5.0
    monkeypatch.setattr(DirectRequests, "tick", lambda self, now: None)
    assert play_case(sever, run_s=3.0).lost > 0


def test_two_isolated_nodes_of_a_zone_do_not_redirect_workers_to_each_other():
    """They would keep all workers, and the leader would return ten machines as silent."""
    both = InjectedFault(0.0, "sever", ("host-0", "host-2"), 34.0)
    result = play_case(both, run_s=20.0)
    assert (result.broken, result.lost, result.returned) == ("", 0, 0)
