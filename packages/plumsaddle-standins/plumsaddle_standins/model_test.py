"""Ours against the naive version in the event model, small and with fixed seeds."""

from plumsaddle_core.core.data import DetectionTradeoff

from .model import Model, Shape
from .model_hosts import NaiveHost, OurHost

SHAPE = Shape(
    "s", 6, 2, 390, 4, 0.1, DetectionTradeoff.DETECTION_TIME, hosts=8, load=0.3
)
BAD = "t-0@10.0.0.0:80"
ONSET = 15.0
END = 30.0


def run(make_host, mode, keys):
    def happen(model):
        for key in keys or model.keys:
            model.targets[key].mode = mode

    model = Model(SHAPE, make_host, 1)
    model.run(END, [(ONSET, happen)])
    return model


def sent_to_bad(model):
    return sum(at > ONSET and key == BAD for at, _, key, _ in model.sent)


def test_runs_with_one_seed_are_equal():
    first, second = (run(OurHost, "errors", [BAD]) for _ in range(2))
    assert first.sent == second.sent


def test_failing_target_gets_less_work_than_from_the_naive_version():
    ours = run(OurHost, "errors", [BAD])
    naive = run(NaiveHost, "errors", [BAD])
    assert sent_to_bad(ours) < sent_to_bad(naive) / 2
    assert ours.lowest >= SHAPE.floor


def test_floor_holds_where_the_naive_version_breaks_it():
    """
    A dependency fails, and the naive version takes every target out.
    """
    assert run(OurHost, "errors", None).lowest == SHAPE.targets
    assert run(NaiveHost, "errors", None).lowest < SHAPE.floor
