"""Metrics of a process: the address in the settings, and the exported text."""

from __future__ import annotations

import asyncio
import socket

import pytest
from prometheus_client.parser import text_string_to_metric_families

from irisdeal.config_store.metrics import StoreMetrics
from irisdeal.http1.messages import Request, Response
from irisdeal.http1.metrics_server import MetricsServer
from irisdeal.proxy.metrics import ProxyMetrics
from irisdeal.registry.metrics import RegistryMetrics
from irisdeal.runtime.errors import SettingsError
from irisdeal.runtime.metrics import Metrics, MetricsAddress, parse_metrics_address
from irisdeal.runtime.settings import Settings, parse_settings

SETTINGS = {
    "node_name": "n",
    "role": "r",
    "ip": "10.0.0.1",
    "zone": "z",
    "port_range": [7000, 7010],
    "seed_peers": [],
}


def samples(text: bytes) -> dict[tuple[str, str], float]:
    """Return the samples by name and label values."""
    return {
        (sample.name, ",".join(sample.labels.values())): sample.value
        for family in text_string_to_metric_families(text.decode())
        for sample in family.samples
    }


@pytest.mark.parametrize("text", ["", "9100/metrics", "9100/"])
def test_settings_name_a_port_and_a_path(text: str) -> None:
    assert parse_settings({**SETTINGS, "metrics": text}).unwrap().metrics == text


@pytest.mark.parametrize("text", ["metrics", "9100", "0/metrics", "70000/metrics", "-1/m", "x/metrics"])
def test_an_invalid_metrics_address_is_rejected_by_name(text: str) -> None:
    error = parse_settings({**SETTINGS, "metrics": text}).failure()
    assert "metrics: wanted PORT/PATH" in str(error)
    assert type(error) is SettingsError and not error.is_retriable


def test_a_metrics_address_keeps_its_whole_path() -> None:
    assert parse_metrics_address("9100/own/figures") == MetricsAddress(9100, "/own/figures")


@pytest.mark.parametrize(
    "metrics", [ProxyMetrics(), RegistryMetrics(), StoreMetrics()], ids=["proxy", "registry", "store"]
)
def test_counts_are_exported_and_what_was_not_counted_is_zero(metrics: Metrics) -> None:
    for counter in metrics.counters:
        counter.add("some" if counter.label else "", 2)
    for summary in metrics.summaries:
        summary.observe(0.25)
        summary.observe(0.5)
    exported = samples(metrics.text())
    for counter in metrics.counters:
        assert exported[f"irisdeal_{counter.name}_total", "some" if counter.label else ""] == 2
    for summary in metrics.summaries:
        assert exported[f"irisdeal_{summary.name}_count", ""] == 2
        assert exported[f"irisdeal_{summary.name}_sum", ""] == 0.75
        assert exported[f"irisdeal_{summary.name}_max", ""] == 0.5
    fresh = type(metrics)()
    without = [counter for counter in fresh.counters if not counter.label]
    assert all(samples(fresh.text())[f"irisdeal_{counter.name}_total", ""] == 0 for counter in without)


@pytest.mark.parametrize(
    ("method", "target", "status"),
    [
        (b"GET", b"/metrics", 200),
        (b"GET", b"/metrics?x=1", 200),
        (b"GET", b"/", 404),
        (b"POST", b"/metrics", 405),
    ],
)
def test_the_metrics_page_is_served_and_no_other(method: bytes, target: bytes, status: int) -> None:
    settings = Settings("n", "r", "10.0.0.1", "z", (7000, 7010), (), metrics="9100/metrics")

    async def ask() -> Response:
        server = MetricsServer(settings, ProxyMetrics(), asyncio.get_running_loop())
        return await server._answer(Request(method, target, [], b"", 0.0))

    answer = asyncio.run(ask())
    assert answer.status == status
    assert (status == 200) == answer.body.startswith(b"# HELP irisdeal_")


# Guards against Fault: a metrics port in use ended a process that needs no metrics to serve.
def test_a_metrics_port_in_use_is_waited_for_in_the_background() -> None:
    async def scenario() -> None:
        with socket.socket() as holder:
            holder.bind(("127.0.0.1", 0))
            holder.listen()
            port = holder.getsockname()[1]
            settings = Settings("n", "r", "127.0.0.1", "z", (7000, 7010), (), metrics=f"{port}/metrics")
            server = MetricsServer(settings, ProxyMetrics(), asyncio.get_running_loop())
            server.start()
            await asyncio.sleep(0.05)
            assert server.http.listener is None
        async with asyncio.timeout(5.0):
            while server.http.listener is None:
                await asyncio.sleep(0.01)
        server.close()

    asyncio.run(scenario())
