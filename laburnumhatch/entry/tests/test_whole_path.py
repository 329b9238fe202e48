"""End-to-end tests: real processes serve every kind of request of both example deployments."""

import hashlib
import json
from datetime import timedelta
from pathlib import Path

import pytest
import pytest_twisted
from twisted.internet.defer import Deferred, gatherResults

from ...standins.caller import Answer
from ...standins.deployment import start_deployment
from ...standins.processes import wait_until

EXAMPLES = Path(__file__).parents[3] / "examples"
ENTRIES = ("entry-1", "entry-2")
KEYS = ("rosa", "b 2/æ")
ENCODED_KEYS = ("rosa", "b%202%2F%C3%A6")
STOCK = "timber-yard-stock-ledger"
CALLER_SPAN = "00f067aa0ba902b7"
LARGE_ANSWER_BYTES = 300_000
OWNERSHIP_TIMEOUT = timedelta(seconds=10)


@pytest.mark.parametrize(("example", "checks_fencing"), [("duefjaer", False), ("caroni", True)])
@pytest_twisted.ensureDeferred
async def test_every_kind_is_answered_by_the_right_server(
    processes, caller, example, checks_fencing
):
    deployment = await start_deployment(
        processes, caller, EXAMPLES / example, ENTRIES, checks_fencing=checks_fencing
    )
    published = await deployment.publish()
    assert published.exit_code == 0, published.output
    await deployment.wait_until_entries_ready()
    owners = await _owners(deployment)
    sent = [
        _send_and_check(deployment, entry, file, kind, n, owners)
        for entry in ENTRIES
        for file in deployment.services.values()
        for kind in file.kinds.values()
        for n in range(len(KEYS))
    ]
    assert len(sent) == len(ENTRIES) * 12 * len(KEYS) - (4 if example == "duefjaer" else 0)
    calls = await gatherResults([Deferred.fromCoroutine(one) for one in sent], consumeErrors=True)
    await _check_refusal(deployment)
    await _check_metrics(deployment, len(sent) // len(ENTRIES))
    await _check_connections(deployment)
    for entry in ENTRIES:
        deployment.entries[entry].process.terminate()
    codes = [await processes.wait_until_exited(deployment.entries[entry]) for entry in ENTRIES]
    assert codes == [0, 0], [child.output for child in deployment.entries.values()]
    _check_spans(deployment, dict(calls))


@pytest_twisted.ensureDeferred
async def test_instance_that_joins_answers_keyed_requests_once_it_is_ready(processes, caller):
    deployment = await start_deployment(
        processes, caller, EXAMPLES / "caroni", ENTRIES, services=frozenset({STOCK})
    )
    assert (await deployment.publish()).exit_code == 0
    await deployment.wait_until_entries_ready()
    await deployment.start_entries(["entry-3"])
    await deployment.wait_until_entry_ready("entry-3")
    answer = await caller.send("GET", f"{deployment.entry_url('entry-3')}/stock/greenheart")
    assert answer.status == 200, answer


async def _owners(deployment):
    """Return the owner of each key of each service with owners, on which both entries agree."""
    owners = {}
    for service, file in deployment.services.items():
        for key, encoded in zip(KEYS, ENCODED_KEYS, strict=True):
            if file.ownership is not None:
                owners[service, key] = await wait_until(
                    deployment.processes.clock,
                    lambda url=f"explain?service={service}&key={encoded}": _agreed(deployment, url),
                    OWNERSHIP_TIMEOUT,
                    f"one owner of {service} key {key}",
                )
    return owners


async def _agreed(deployment, page):
    found = [await deployment.fetch_json(f"{deployment.admin_url(e)}/{page}") for e in ENTRIES]
    named = {(answer or {}).get("owner") for answer in found}
    return named.pop() if len(named) == 1 else None


async def _send_and_check(deployment, entry, file, kind, n, owners):
    path = "/".join(ENCODED_KEYS[n] if s.startswith("{") else s for s in kind.path.split("/"))
    nonce = f"{entry}-{kind.method}-{path}-{n}"
    query = "nonce=" + hashlib.sha256(nonce.encode()).hexdigest()
    if "film" in path or "/drawings/" in path:
        query += f"&answer_bytes={LARGE_ANSWER_BYTES}"
    body = nonce.encode() * 100 if kind.method in ("POST", "PUT") else b""
    trace = hashlib.md5(nonce.encode()).hexdigest()
    headers = {"Deadline-Ms": "20000", "Traceparent": f"00-{trace}-{CALLER_SPAN}-01"}
    if not kind.repeatable:
        headers["Idempotency-Key"] = f'"{hashlib.sha256(nonce.encode()).hexdigest()}"'
    url = f"{deployment.entry_url(entry)}{path}?{query}"
    answer = await deployment.caller.send(kind.method, url, headers, body)
    assert isinstance(answer, Answer) and answer.status == 200, (nonce, answer)
    echo = json.loads(answer.headers["echo"]) if "answer_bytes" in query else answer.document
    assert echo["service"] == file.service
    assert (echo["method"], echo["path"], echo["query"]) == (kind.method, path, query)
    assert (echo["body_bytes"], echo["body_digest"]) == (len(body), _digest(body))
    assert echo["runs"] == 1
    assert echo["traceparent"].split("-")[1] == trace
    if "answer_bytes" in query:
        assert len(answer.body) == LARGE_ANSWER_BYTES
        assert answer.headers["digest-sha256"] == _digest(answer.body)
    if file.ownership is not None:
        assert (echo["key"], echo["server"]) == (KEYS[n], owners[file.service, KEYS[n]])
        assert echo["epoch"] is not None
    return trace, echo["traceparent"].split("-")[2]


async def _check_refusal(deployment):
    answer = await deployment.caller.send("GET", f"{deployment.entry_url('entry-1')}/nowhere")
    assert answer.headers["content-type"] == "application/problem+json"
    assert (answer.document["code"], answer.document["run"]) == (101, "no")


async def _check_metrics(deployment, answered):
    page = await deployment.caller.send("GET", f"{deployment.admin_url('entry-1')}/metrics")
    lines = [line for line in page.body.decode().splitlines() if 'code="0"' in line]
    assert sum(float(line.rpartition(" ")[2]) for line in lines) == answered


async def _check_connections(deployment):
    """Check that no target received more connections than its routing file allows."""
    for service, target in deployment.targets:
        counters = await deployment.fetch_json(f"{deployment.target_url(service, target)}/counters")
        assert counters["connections"]["refused"] == 0
        assert counters["connections"]["limit"] == 100


def _check_spans(deployment, calls):
    """Check that each trace has a span for the request and one for the call to the server."""
    text = "".join(deployment.trace_path(entry).read_text() for entry in ENTRIES)
    spans = [json.loads(line) for line in text.splitlines()]
    requests = {span["trace"]: span for span in spans if span["name"] == "request"}
    called = {span["trace"]: span for span in spans if span["name"] == "upstream call"}
    for trace, span in calls.items():
        assert requests[trace]["parent"] == CALLER_SPAN
        assert called[trace]["parent"] == requests[trace]["span"]
        assert called[trace]["span"] == span


def _digest(content):
    return hashlib.sha256(content).hexdigest()
