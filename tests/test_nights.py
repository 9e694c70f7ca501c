"""Generated bad nights on whole nodes: bounded sets, and planted faults that the checks notice."""

import pytest

from coveflow.core import redirects
from coveflow.core.answer_receipt import AnswerReceipt
from coveflow.daemon.direct_requests import DirectRequests
from coveflow.daemon.machine_manager import MachineManager
from coveflow.daemon.user_jobs import UserJobs
from coveflow.lab import worlds
from coveflow.lab.cases import Case, Trouble
from coveflow.net.http import Unavailable


@pytest.mark.parametrize("seed", range(24))
def test_no_rule_breaks_and_all_is_known_and_done_after_a_bad_night(seed):
    told = worlds.play(worlds.nights(seed))
    assert not told.broken and not told.unfinished and not told.failures


def night(*troubles: Trouble, **more) -> worlds.Told:
    return worlds.play(Case("nights", 3, "test", troubles=troubles, polls=True, **more))


def test_a_job_that_no_node_answers_about_in_calm_is_noticed(monkeypatch):
    """However many other answers there are."""
    honest = UserJobs.find

    async def look(self, name):
        if name == "j-000007":
            raise Unavailable("its record can't be read")
        return await honest(self, name)

    monkeypatch.setattr(UserJobs, "find", look)
    assert "forgotten: no answer about j-000007" in night(run_s=6.0).broken


def test_a_zone_cut_one_way_stays_and_a_keeper_that_gives_it_back_is_noticed(monkeypatch):
    cut = Trouble(0.0, "deaf", ("zone",), 30.0)
    told = night(cut, run_s=15.0)
    assert (told.broken, told.returned, told.deaf) == ("", 0, 0)
    monkeypatch.setattr(
        "coveflow.membership.report_batches.BatchSender.add_redirected", lambda *_: None
    )
    monkeypatch.setattr(MachineManager, "_many_not_receiving", lambda self: (set(), 100))
    assert night(cut, run_s=15.0).returned > 2


def test_a_deaf_machine_keeps_no_work_and_one_that_is_not_known_as_such_does(monkeypatch):
    """Its tasks run elsewhere once its session is over, which nothing hastens, and stay there."""
    deaf = Trouble(0.0, "deaf", ("one",), 90.0)
    with_it = night(deaf, run_s=20.0)
    assert with_it.deaf == 1 and not with_it.returned
    monkeypatch.setattr(AnswerReceipt, "record_report", lambda *_: False)
    assert night(deaf, run_s=20.0).lost > with_it.lost


def test_a_node_without_store_and_peers_lets_its_workers_go_and_one_that_holds_them_is_noticed(
    monkeypatch,
):
    sever = Trouble(0.0, "sever", ("leader",), 24.0)
    told = night(sever, run_s=3.0)
    assert (told.broken, told.lost, told.returned) == ("", 0, 0)
    monkeypatch.setattr(redirects, "untried_zone_node", lambda machine, contact, mates, now: "")
    # Machines that are asked directly do not go back meanwhile; what they end is told later still.
    assert night(sever, run_s=3.0).whole_s > told.whole_s + 5.0
    monkeypatch.setattr(DirectRequests, "tick", lambda self, now: None)
    assert night(sever, run_s=3.0).lost > 0


def test_two_nodes_of_a_zone_without_store_and_peers_do_not_send_workers_to_each_other():
    """They kept all workers between them, and the leader gave ten machines back as silent."""
    both = Trouble(0.0, "sever", ("host-0", "host-2"), 34.0)
    told = night(both, run_s=20.0)
    assert (told.broken, told.lost, told.returned) == ("", 0, 0)
