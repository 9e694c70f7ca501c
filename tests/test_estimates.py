"""Run time histories and the choice between estimators."""

import math

from coveflow.core.estimates import Predictor
from tests.samples import spec


def test_without_history_the_users_estimate_is_used():
    assert Predictor().predict(spec(expected_s=42.0)) == 42.0


def test_the_pair_with_the_lowest_relative_error_is_used():
    predictor = Predictor()
    # One image always takes 10 s, the other varies. The history of the whole class varies too, so
    # the history by image has the lower error.
    for erratic in (100.0, 20.0, 300.0, 5.0):
        predictor.observe(spec(image="a", expected_s=0.0), 10.0)
        predictor.observe(spec(image="b", expected_s=0.0), erratic)
    assert math.isclose(predictor.predict(spec(image="a", expected_s=0.0)), 10.0)


def test_the_decayed_mean_uses_alpha_one_half():
    predictor = Predictor()
    for runtime in (10.0, 20.0, 40.0):
        predictor.observe(spec(), runtime)
    assert predictor.histories["class:sort"].predict("decay") == 0.5 * 40 + 0.5 * (0.5 * 20 + 5)


def test_histories_can_be_dumped_and_loaded():
    predictor = Predictor()
    for runtime in (10.0, 20.0, 40.0, 15.0):
        predictor.observe(spec(), runtime)
    other = Predictor()
    other.load(predictor.dump(6000))
    assert math.isclose(other.predict(spec()), predictor.predict(spec()), rel_tol=1e-3)
    assert len(str(predictor.dump(300))) <= 400
