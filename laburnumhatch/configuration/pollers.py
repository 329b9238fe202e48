"""Which instances poll the configuration row."""

from collections.abc import Iterable

from ..membership.interfaces import Instance
from ..membership.rendezvous import choose_instances

__all__ = ["POLLERS", "polls_table"]

# Instances of one data centre that poll.
POLLERS = 2


def polls_table(instances: Iterable[Instance], own: Instance) -> bool:
    """Return whether `own` is one of its data centre's instances that poll the table.

    Parameters
    ----------
    instances : iterable of Instance
        The live instances.
    own : Instance

    Notes
    -----
    The others hear of a new version from their peers. The table's load so depends on the number
    of data centres: with 8 instances in 4 all poll, with 1,700 in 16 it is 32 reads a second.
    """
    near = {i.name: i for i in instances if i.data_centre == own.data_centre}
    near[own.name] = own
    chosen = choose_instances(near.values(), "configuration", POLLERS)
    return any(one.name == own.name for one in chosen)
