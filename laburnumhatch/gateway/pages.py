"""Handlers of the readiness and metrics pages."""

from collections.abc import Callable, Mapping

from ..transport import CallerRequest, HeldKind
from .gateway import Gateway
from .metrics import LATENCY_BOUNDS_S, Histogram

__all__ = ["metrics_page", "readiness_page"]


def readiness_page(is_ready: Callable[[], bool]) -> Callable[[CallerRequest], None]:
    """Return a handler that tells the load balancer whether this instance accepts callers."""

    def handle(request: CallerRequest) -> None:
        request.respond(200 if is_ready() else 503, [], b"")

    return handle


def metrics_page(
    gateway: Gateway, store_calls: Mapping[tuple[str, str], int]
) -> Callable[[CallerRequest], None]:
    """Return a handler that serves the metrics in the Prometheus text format.

    Parameters
    ----------
    gateway : Gateway
    store_calls : mapping of (str, str) to int
        Number of calls to the store by path and outcome.
    """

    def handle(request: CallerRequest) -> None:
        lines = _metric_lines(gateway) + ["# TYPE laburnumhatch_store_calls_total counter"]
        for (path, outcome), count in sorted(store_calls.items()):
            labels = f'path="{path}",outcome="{outcome}"'
            lines.append(f"laburnumhatch_store_calls_total{{{labels}}} {count}")
        text = "\n".join(lines) + "\n"
        request.respond(200, [(b"content-type", b"text/plain; version=0.0.4")], text.encode())

    return handle


def _metric_lines(gateway: Gateway) -> list[str]:
    metrics, member = gateway.metrics, gateway.member
    lines = ["# TYPE laburnumhatch_requests_total counter"]
    for (service, result), count in sorted(metrics.requests.items()):
        labels = f'service="{service}",result="{result}"'
        lines.append(f"laburnumhatch_requests_total{{{labels}}} {count}")
    lines.append("# TYPE laburnumhatch_attempts_total counter")
    for (service, result), count in sorted(metrics.attempts.items()):
        labels = f'service="{service}",result="{result}"'
        lines.append(f"laburnumhatch_attempts_total{{{labels}}} {count}")
    lines.append("# TYPE laburnumhatch_relayed_total counter")
    for (service, result), count in sorted(metrics.relayed.items()):
        labels = f'service="{service}",result="{result}"'
        lines.append(f"laburnumhatch_relayed_total{{{labels}}} {count}")
    lines.append("# TYPE laburnumhatch_held_bytes gauge")
    for kind in HeldKind:
        held = gateway.memory.held[kind]
        lines.append(f'laburnumhatch_held_bytes{{for="{kind.value}"}} {held}')
    lines.append("# TYPE laburnumhatch_memory_refusals_total counter")
    for size, count in sorted(metrics.memory_refusals.items()):
        lines.append(f'laburnumhatch_memory_refusals_total{{body="{size}"}} {count}')
    lines.append("# TYPE laburnumhatch_unanswered_total counter")
    for cause, count in sorted(metrics.unanswered.items()):
        lines.append(f'laburnumhatch_unanswered_total{{cause="{cause}"}} {count}')
    lines.append("# TYPE laburnumhatch_upstream_connections_paused gauge")
    for state, count in gateway.pool.paused_counts().items():
        lines.append(f'laburnumhatch_upstream_connections_paused{{state="{state}"}} {count}')
    lines += _histogram_lines("laburnumhatch_request_seconds", metrics.latencies)
    lines += _histogram_lines("laburnumhatch_owner_wait_seconds", metrics.owner_waits)
    lines.append("# TYPE laburnumhatch_waits_total counter")
    for (service, outcome), count in sorted(metrics.waits.items()):
        labels = f'service="{service}",outcome="{outcome}"'
        lines.append(f"laburnumhatch_waits_total{{{labels}}} {count}")
    lines += _histogram_lines("laburnumhatch_wait_seconds", metrics.wait_times)
    lines.append("# TYPE laburnumhatch_retry_budget_left gauge")
    for service in sorted(metrics.latencies):
        left = gateway.retry_budget_left(service)
        lines.append(f'laburnumhatch_retry_budget_left{{service="{service}"}} {left:.1f}')
    lines.append("# TYPE laburnumhatch_upstream_in_flight gauge")
    for name, load in sorted(gateway.load_tracker.loads.items()):
        lines.append(f'laburnumhatch_upstream_in_flight{{upstream="{name}"}} {load.in_flight}')
    lines += _estimate_lines(gateway)
    lines.append("# TYPE laburnumhatch_upstream_request_limit gauge")
    for name, rate_per_s in sorted(gateway.load_tracker.limits.rates_per_s.items()):
        lines.append(f'laburnumhatch_upstream_request_limit{{upstream="{name}"}} {rate_per_s:g}')
    warmups = gateway.load_tracker.warmups
    lines.append("# TYPE laburnumhatch_upstream_warming_up gauge")
    for name in warmups.names:
        lines.append(f'laburnumhatch_upstream_warming_up{{upstream="{name}"}} 1')
    lines.append("# TYPE laburnumhatch_warmup_permits_total counter")
    for result, count in (("granted", warmups.granted_count), ("denied", warmups.denied_count)):
        lines.append(f'laburnumhatch_warmup_permits_total{{result="{result}"}} {count}')
    lines.append("# TYPE laburnumhatch_knowledge_age_seconds gauge")
    for name, age in member.ages().items():
        lines.append(f'laburnumhatch_knowledge_age_seconds{{of="{name}"}} {age:.3f}')
    routes = member.routes.routes if member.routes is not None else ()
    unknown_count = sum(not route.has_known_type for route in routes)
    lines.append("# TYPE laburnumhatch_routes_of_unknown_type gauge")
    lines.append(f"laburnumhatch_routes_of_unknown_type {unknown_count}")
    evacuated = {u.data_centre for u in member.registry_view.upstreams.values() if u.is_evacuated}
    lines.append("# TYPE laburnumhatch_evacuated_data_centres gauge")
    lines.append(f"laburnumhatch_evacuated_data_centres {len(evacuated)}")
    lines.append("# TYPE laburnumhatch_key_ranges gauge")
    for service, ownership_map in sorted(member.ownership_maps.items()):
        count = len(ownership_map.ranges)
        lines.append(f'laburnumhatch_key_ranges{{service="{service}"}} {count}')
    lines.append("# TYPE laburnumhatch_service_unreachable gauge")
    for service in sorted(gateway.link_monitor.unreachable):
        lines.append(f'laburnumhatch_service_unreachable{{service="{service}"}} 1')
    version = member.routes.version if member.routes is not None else 0
    limit = gateway.connection_limit
    lines += [
        f"laburnumhatch_configuration_version {version}",
        f"laburnumhatch_instances {member.instance_count or 0}",
        f"laburnumhatch_is_leader {int(member.is_leader)}",
        f"laburnumhatch_connections_open {limit.open_count}",
        f"laburnumhatch_connections_closed_for_others_total {limit.closed_count}",
        f"laburnumhatch_requests_in_flight {gateway.in_flight}",
        f"laburnumhatch_requests_waiting {gateway.admission.waiting_count}",
        f"laburnumhatch_upstream_connections_opened_total {gateway.pool.opened_count}",
        f"laburnumhatch_loop_lag_seconds_total {gateway.loop_lag.total.total_seconds():.3f}",
        f"laburnumhatch_loop_lag_seconds_max {gateway.loop_lag.longest.total_seconds():.3f}",
        f"laburnumhatch_log_lines_left_out {gateway.request_log.dropped_count}",
        f"laburnumhatch_log_answered_left_out_total {gateway.request_log.dropped_answered_count}",
    ]
    return lines


def _estimate_lines(gateway: Gateway) -> list[str]:
    estimates = sorted(gateway.load_tracker.estimates.items())
    lines = ["# TYPE laburnumhatch_upstream_unloaded_seconds gauge"]
    for name, estimate in estimates:
        labels = f'upstream="{name}"'
        lines.append(
            f"laburnumhatch_upstream_unloaded_seconds{{{labels}}} {estimate.unloaded_s:.4f}"
        )
    lines.append("# TYPE laburnumhatch_upstream_concurrency_limit gauge")
    for name, estimate in estimates:
        if estimate.limit:
            labels = f'upstream="{name}"'
            lines.append(f"laburnumhatch_upstream_concurrency_limit{{{labels}}} {estimate.limit}")
    return lines


def _histogram_lines(name: str, histograms: Mapping[str, Histogram]) -> list[str]:
    lines = [f"# TYPE {name} histogram"]
    for service, histogram in sorted(histograms.items()):
        cumulative_count = 0
        for bound, count in zip((*LATENCY_BOUNDS_S, "+Inf"), histogram.counts, strict=True):
            cumulative_count += count
            lines.append(f'{name}_bucket{{service="{service}",le="{bound}"}} {cumulative_count}')
        lines.append(f'{name}_sum{{service="{service}"}} {histogram.total_s:.3f}')
        lines.append(f'{name}_count{{service="{service}"}} {cumulative_count}')
    return lines
