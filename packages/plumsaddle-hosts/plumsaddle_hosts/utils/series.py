"""
Creation of metrics labelled with the host's id.
"""

from aioprometheus import Registry


def new_series(host):
    """
    Return a registry and a function that creates metrics in it.

    The function takes the metric's class, its name without the common prefix and its
    help text, for example `make(Counter, "answers_total", "Answers by status.")`.

    Args:
      host: The host's id, the `host` label of every metric.
    """
    registry = Registry()

    def make(metric_class, name, help_text, **options):
        return metric_class(
            f"plumsaddle_{name}",
            help_text,
            const_labels={"host": host},
            registry=registry,
            **options,
        )

    return registry, make
