"""The backends that a proxy may send requests to, by the states that registries report."""

from __future__ import annotations

import pytest

from irisdeal.proxy.backend_directory import BackendDirectory
from irisdeal.registry.incarnation import BackendIncarnation, BackendState
from irisdeal.runtime.settings import Settings

SETTINGS = Settings(node_name="e", role="proxy", ip="e", zone="z", port_range=(1, 9), seed_peers=())
READY = BackendIncarnation("i", "s", "10.9.0.1:80", "z", 2, BackendState.READY, 4, 0.0)
# As a registry that does not know the backend records its end
UNKNOWN_END = BackendIncarnation("i", "", "", "", 0, BackendState.GONE, 0, 0.0)
OTHER_SERVICE_END = BackendIncarnation("i", "other", "10.9.0.1:80", "z", 2, BackendState.GONE, 9, 0.0)


# Guards against CONFIG: the end raised KeyError in the task that receives all updates of this proxy.
@pytest.mark.parametrize("end", [UNKNOWN_END, OTHER_SERVICE_END], ids=["unknown", "other service"])
def test_an_end_reported_without_its_service_removes_the_backend(end: BackendIncarnation) -> None:
    retired: list[str] = []
    directory = BackendDirectory(SETTINGS, retired.append, lambda: None)
    directory.update(READY, False)
    directory.update(end, False)
    assert not directory.backends and not directory.services["s"] and retired == ["i"]
