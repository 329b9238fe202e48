"""List of all fault scenarios."""

from .departures import drain_owner, drain_server, slow_servers, stop_entry
from .losses import (
    freeze_coordinator,
    freeze_owner,
    kill_coordinator,
    kill_owner,
    kill_server_with_lost_replies,
)
from .outages import (
    kill_in_outage_run,
    platform_failure_run,
    prepare_coordinator_kill,
    prepare_owner_kill,
    slow_platform,
    start_in_outage,
    take_platform_down,
)
from .publications import frozen_entry_and_publish, publish_with_lost_reply, racing_publishers
from .scenario import Scenario

__all__ = ["SCENARIOS"]

SCENARIOS = (
    Scenario("kill-owner", "kill a server that owns keys", False, kill_owner),
    Scenario("freeze-owner", "freeze a server that owns keys, then thaw it", True, freeze_owner),
    Scenario("kill-coordinator", "kill the coordinator", False, kill_coordinator),
    Scenario(
        "freeze-coordinator",
        "freeze the coordinator, kill a server, thaw the coordinator",
        False,
        freeze_coordinator,
    ),
    Scenario(
        "platform-outage", "platform down for 12 s", False, platform_failure_run(take_platform_down)
    ),
    Scenario(
        "platform-slow",
        "platform slower than its timeout",
        False,
        platform_failure_run(slow_platform),
    ),
    Scenario(
        "outage-and-coordinator",
        "platform down, then kill the coordinator",
        False,
        kill_in_outage_run(prepare_coordinator_kill),
    ),
    Scenario(
        "outage-and-server",
        "platform down, then kill a server",
        False,
        kill_in_outage_run(prepare_owner_kill),
    ),
    Scenario(
        "lost-replies-and-server",
        "kill a server while replies to table writes are lost",
        True,
        kill_server_with_lost_replies,
    ),
    Scenario("stop-entry", "SIGTERM, twice, to two entry instances", False, stop_entry),
    Scenario("drain-server", "drain a server whose health says ready", False, drain_server),
    Scenario("drain-owner", "drain a server that owns keys", False, drain_owner),
    Scenario(
        "publish-lost-reply", "lose the reply to the publication", False, publish_with_lost_reply
    ),
    Scenario("racing-publishers", "two operators publish at once", False, racing_publishers),
    Scenario("start-in-outage", "replace an instance in an outage", False, start_in_outage),
    Scenario(
        "frozen-entry-and-publish",
        "freeze an instance, publish, thaw it",
        False,
        frozen_entry_and_publish,
    ),
    Scenario("slow-servers", "late and cut answers", False, slow_servers),
)
