"""
Metrics that all carry the host's id.
"""

from aioprometheus import Registry


def new_series(host):
    """
    Return a registry, and a function that makes metrics in it.

    The function takes the metric's class, its name without the common prefix and its
    text, for example `make(Counter, "answers_total", "Answers by status.")`.

    Args:
      host: The host's id, which every series carries.
    """
    registry = Registry()

    def make(shape, name, text, **options):
        return shape(
            f"plumsaddle_{name}",
            text,
            const_labels={"host": host},
            registry=registry,
            **options,
        )

    return registry, make
