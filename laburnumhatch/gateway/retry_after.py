"""Times after which callers may come back, by the reason of their refusal."""

from ..clocks import milliseconds

__all__ = [
    "DECLINED_RETRY_AFTER",
    "HOT_KEY_RETRY_AFTER",
    "LIMITED_RETRY_AFTER",
    "MEMORY_RETRY_AFTER",
    "NO_CONFIGURATION_RETRY_AFTER",
    "NO_OWNER_RETRY_AFTER",
    "OWNER_LOST_RETRY_AFTER",
]

# Retry-After for a key without an owner, and for a service without available upstreams.
NO_OWNER_RETRY_AFTER = milliseconds(250)
# Retry-After for a request that was declined by upstreams that are not full, or that was not sent
# before its deadline.
DECLINED_RETRY_AFTER = milliseconds(40)
# Retry-After for a key whose owner is lost: about half of a lease, after which the next owner holds
# the key.
OWNER_LOST_RETRY_AFTER = milliseconds(1200)
# Retry-After for a key that is requested more often than its owner can serve: the requests of a
# moment are no guide to when it will be less busy.
HOT_KEY_RETRY_AFTER = milliseconds(1000)
# Shortest Retry-After for a request that its upstream takes no more of at the moment. The keys of
# an upstream with a limit move to others within about this time.
LIMITED_RETRY_AFTER = milliseconds(500)
NO_CONFIGURATION_RETRY_AFTER = milliseconds(500)
# Retry-After for a request that doesn't fit into the memory: others need about this time to be
# received, sent and answered.
MEMORY_RETRY_AFTER = milliseconds(500)
