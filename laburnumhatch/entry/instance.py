"""Composition of an entry instance from its components."""

import random
from typing import Any

import logbook
from aioprometheus import Registry
from twisted.internet.defer import Deferred

from ..balancing import LatencyClassChooser
from ..clocks import Clock
from ..configuration import ConfigurationFollower
from ..links import PeerLinks
from ..membership import Instance, InstanceDirectory, TargetHealth, http_probe
from ..ownership import OwnershipKeeper
from ..planning import plan_moves
from ..requests import RequestPath
from ..routing import Snapshot, build_matcher
from ..routing.match import Matcher
from ..settings import InstanceSettings, ListenAddress
from ..storage import HttpClient, HttpInstanceList, HttpObjectStore, HttpTable
from .admin import AdminPages, build_admin_site
from .first_leases import FirstLeaseReadiness
from .lifecycle import LifecycleActions, build_lifecycle
from .messages import build_codec

__all__ = ["EntryInstance"]

_log = logbook.Logger("laburnumhatch.entry")


class EntryInstance:
    """One entry instance, composed of its components.

    Parameters
    ----------
    reactor
        A Twisted reactor.
    clock : Clock
    settings : InstanceSettings
    exit : callable
        Called with the exit code to end the process.
    """

    def __init__(self, reactor: Any, clock: Clock, settings: InstanceSettings, exit: Any) -> None:
        self._reactor = reactor
        self._clock = clock
        self._settings = settings
        self._matcher: Matcher | None = None
        self._registry = Registry()
        self._ports: dict[str, Any] = {}
        self._peer_port = 0
        self._lifecycle = build_lifecycle(
            LifecycleActions(self._become_unready, self._close_port, self._hand_over, exit)
        )
        self._build_storage_clients()
        self._build_membership()
        self._build_request_path()

    @property
    def ports(self) -> dict[str, int]:
        """Numbers of the open ports by name."""
        listening = {name: port.getHost().port for name, port in self._ports.items()}
        return {**listening, "peers": self._peer_port}

    def start(self) -> None:
        """Open the ports and start all components."""
        self._listen("callers", self._settings.callers, self._request_path.factory())
        self._listen("admin", self._settings.admin, self._admin_site())
        self._instances.start()
        self._targets.start()
        self._ownership.start()
        self._configuration.start()
        self._lifecycle.started()

    def stop(self) -> None:
        """Start the graceful shutdown; repeated calls have no effect."""
        self._lifecycle.stop_requested()

    def unready_reasons(self) -> list[str]:
        """Return the reasons for which the instance isn't ready; empty if it is ready."""
        reasons = []
        state = self._lifecycle.state_name()
        if state != "serving":
            reasons.append(f"the instance is {state}")
        if self._configuration.snapshot is None:
            reasons.append(f"no configuration: {self._configuration.problem}")
        return reasons + self._first_lease_readiness.unready_reasons()

    def status(self) -> dict[str, Any]:
        """Return the state of the instance for the status page."""
        snapshot = self._configuration.snapshot
        return {
            "instance": self._settings.name,
            "data_centre": self._settings.data_centre,
            "state": self._lifecycle.state_name(),
            "ready": not self.unready_reasons(),
            "reasons": self.unready_reasons(),
            "configuration": {
                "version": snapshot.version if snapshot else 0,
                "digest": snapshot.digest if snapshot else "",
                "problem": self._configuration.problem,
            },
            "instances": [instance.name for instance in self._instances.live()],
            "links": list(self._links.connected_peers()),
            "targets": self._targets.describe(),
            "ownership": self._ownership.status(),
            "in_flight": self._request_path.in_flight,
        }

    def explain(self, service: str, key: str) -> dict[str, Any] | None:
        """Return what is known about the owner of a key, or None for an unknown service."""
        snapshot = self._configuration.snapshot
        if snapshot is None or snapshot.service(service) is None:
            return None
        return {
            "instance": self._settings.name,
            "configuration_version": snapshot.version,
            **self._ownership.describe(service, key),
        }

    def _build_storage_clients(self) -> None:
        client = HttpClient(self._reactor, self._clock)
        addresses = self._settings.platform
        self._table = HttpTable(client, addresses.table)
        self._object_store = HttpObjectStore(client, addresses.object_store)
        self._instance_list = HttpInstanceList(client, addresses.instance_list)

    def _build_membership(self) -> None:
        settings = self._settings
        self._links = PeerLinks(
            reactor=self._reactor,
            clock=self._clock,
            codec=build_codec(),
            own_name=settings.name,
            shared_key=settings.peer_key,
        )
        # This port is announced to the other instances; the system may have chosen it.
        self._peer_port = self._links.listen(settings.peers.host, settings.peers.port)
        own_instance = Instance(
            settings.name,
            settings.advertise_host,
            self._peer_port,
            settings.admin.port,
            settings.data_centre,
        )
        self._instances = InstanceDirectory(
            clock=self._clock,
            instance_list=self._instance_list,
            own_instance=own_instance,
            links=self._links,
            seeds=[Instance(s.name, s.host, s.port, 0, s.data_centre) for s in settings.seeds],
        )
        self._targets = TargetHealth(
            clock=self._clock,
            own_name=settings.name,
            links=self._links,
            instances=self._instances,
            probe=http_probe(HttpClient(self._reactor, self._clock), self._clock),
        )
        self._configuration = ConfigurationFollower(
            clock=self._clock,
            table=self._table,
            object_store=self._object_store,
            links=self._links,
            instances=self._instances,
            own_instance=own_instance,
            on_change=self._apply_snapshot,
        )

    def _build_request_path(self) -> None:
        settings = self._settings
        self._ownership = OwnershipKeeper(
            self._reactor,
            self._clock,
            settings.name,
            settings.data_centre,
            self._table,
            self._links,
            self._instances,
            self._targets,
            plan_moves,
        )
        chooser = LatencyClassChooser(
            clock=self._clock,
            targets=self._targets,
            instance=settings.name,
            data_centre=settings.data_centre,
            live_instances=self._live_instance_count,
            random_source=random.Random(),
        )
        self._request_path = RequestPath(
            self._reactor,
            self._clock,
            settings.name,
            lambda: self._matcher,
            self._ownership,
            self._targets,
            chooser,
            self._table,
            entry_count=self._live_instance_count,
            registry=self._registry,
            on_owner_call=self._ownership.record_work,
        )
        self._first_lease_readiness = FirstLeaseReadiness(
            self._clock, self._ownership.services_without_lease
        )

    def _live_instance_count(self) -> int:
        return len(self._instances.live())

    def _admin_site(self) -> Any:
        pages = AdminPages(
            unready_reasons=self.unready_reasons,
            status=self.status,
            explain=self.explain,
            registry=self._registry,
        )
        return build_admin_site(pages)

    def _listen(self, name: str, address: ListenAddress, factory: Any) -> None:
        self._ports[name] = self._reactor.listenTCP(
            address.port, factory, interface=address.host, backlog=512
        )

    def _apply_snapshot(self, snapshot: Snapshot) -> None:
        self._targets.set_targets(snapshot)
        self._ownership.apply_snapshot(snapshot)
        self._first_lease_readiness.start_waiting()
        self._matcher = build_matcher(snapshot)

    def _become_unready(self) -> None:
        _log.info("graceful shutdown started; the instance is no longer ready")
        self._instances.announce_leaving()
        settings = self._settings
        self._clock.call_later(
            settings.unready_before_close, self._lifecycle.readiness_delay_elapsed
        )
        self._clock.call_later(settings.stop_within, self._lifecycle.shutdown_timed_out)

    def _close_port(self) -> None:
        _log.info(
            "graceful shutdown: closing the port for callers with {} requests in flight",
            self._request_path.in_flight,
        )
        self._ports.pop("callers").stopListening()
        self._request_path.stop_accepting()
        self._request_path.when_drained().addCallback(lambda _: self._lifecycle.drained())

    def _hand_over(self) -> None:
        self._configuration.stop()
        self._targets.stop()
        stopped = Deferred.fromCoroutine(self._ownership.stop())
        stopped.addErrback(
            lambda f: _log.error("hand-over of the leases failed: {}", f.getTraceback())
        )
        # Until the hand-over has ended, the other instances must see this instance as alive.
        stopped.addBoth(lambda _: self._instances.stop())
        stopped.addBoth(lambda _: self._links.stop())
        stopped.addBoth(lambda _: self._lifecycle.handed_over())
