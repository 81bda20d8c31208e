"""The faults of the timeline, each as a function that plays it to its end on a platform."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

from irisdeal.testbed.fault_proxy import Condition
from irisdeal.testbed.fault_target import FaultTarget, FrontDoors
from irisdeal.testbed.request_log import front_door_name
from irisdeal.testbed.scenario import Fault

FaultPlayer = Callable[[FaultTarget, Fault, FrontDoors], Awaitable[None]]


async def _hang(platform: FaultTarget, fault: Fault, _: FrontDoors) -> None:
    backends = platform.pick_backends(fault.backends)
    for backend in backends:
        backend.set_hung(True)
    await asyncio.sleep(fault.for_s)
    for backend in backends:
        if backend.up:
            backend.set_hung(False)
    platform.release_backends(backends)


async def _slow(platform: FaultTarget, fault: Fault, _: FrontDoors) -> None:
    backends = platform.pick_backends(fault.backends)
    for backend in backends:
        backend.set_slower(fault.size)
    await asyncio.sleep(fault.for_s)
    for backend in backends:
        if backend.up:
            backend.set_slower(1.0)
    platform.release_backends(backends)


async def _crash(platform: FaultTarget, fault: Fault, _: FrontDoors) -> None:
    """Crash and restart backends, with slow start. Discovery publishes the restart alone, with a delay."""
    backends = platform.pick_backends(fault.backends)
    for backend in backends:
        backend.crash()
    await asyncio.sleep(fault.for_s)
    for backend in backends:
        await backend.start(platform.front_doors, warming_up=True)
    platform.discovery.change(*(platform.endpoint_of(backend, "Ready") for backend in backends))
    platform.release_backends(backends)
    platform.record_fault(f"{len(backends)} boxes are up again, cold")


async def _replace(platform: FaultTarget, fault: Fault, _: FrontDoors) -> None:
    """Replace machines by ones with new ids at the same addresses, which the old list still contains."""
    backends = platform.pick_backends(fault.backends)
    for backend in backends:
        backend.crash()
    await asyncio.sleep(fault.for_s)
    for backend in backends:
        gone = platform.endpoint_of(backend, "Gone")
        new = await platform.new_backend(warming_up=True, replaced=backend)
        platform.discovery.change(gone, platform.endpoint_of(new, "Ready"))
    platform.record_fault(f"{len(backends)} new boxes stand at the old addresses, cold")


async def _drain(platform: FaultTarget, fault: Fault, _: FrontDoors) -> None:
    backends = platform.pick_backends(fault.backends)
    platform.discovery.change(*(platform.endpoint_of(backend, "Terminating") for backend in backends))
    await asyncio.sleep(fault.for_s)
    for backend in backends:
        backend.drain()
    platform.discovery.change(*(platform.endpoint_of(backend, "Gone") for backend in backends))
    platform.record_fault(f"{len(backends)} boxes are gone")


async def _add(platform: FaultTarget, fault: Fault, _: FrontDoors) -> None:
    made = [await platform.new_backend(warming_up=True) for _ in range(fault.backends)]
    platform.discovery.change(*(platform.endpoint_of(backend, "Ready") for backend in made))


async def _spoil(platform: FaultTarget, fault: Fault, _: FrontDoors) -> None:
    backends = platform.pick_backends(fault.backends)
    for backend in backends:
        backend.set_spoil(fault.size)
    await asyncio.sleep(fault.for_s)
    for backend in backends:
        backend.set_spoil(0.0)
    platform.release_backends(backends)


async def _counter_unresponsive(platform: FaultTarget, fault: Fault, _: FrontDoors) -> None:
    platform.counter.put("silent", 1)
    await asyncio.sleep(fault.for_s)
    platform.counter.put("silent", 0)
    platform.record_fault("the keeper answers again")


async def _counter_refuse(platform: FaultTarget, fault: Fault, _: FrontDoors) -> None:
    platform.counter.refuse()
    await asyncio.sleep(fault.for_s)
    await platform.counter.restart(platform.front_doors, fault.empty)
    platform.record_fault(f"the keeper is back, {'empty' if fault.empty else 'with its counts'}")


async def _counter_slow(platform: FaultTarget, fault: Fault, _: FrontDoors) -> None:
    platform.counter.put("slower", fault.size)
    await asyncio.sleep(fault.for_s)
    platform.counter.put("slower", 1.0)


async def _counter_flush(platform: FaultTarget, fault: Fault, _: FrontDoors) -> None:
    platform.record_fault(f"the keeper lost {await platform.counter.forget(fault.size)} names")


async def _counter_spoil(platform: FaultTarget, fault: Fault, _: FrontDoors) -> None:
    platform.counter.put("spoil", fault.size)
    await asyncio.sleep(fault.for_s)
    platform.counter.put("spoil", 0.0)


async def _counter_split(platform: FaultTarget, fault: Fault, _: FrontDoors) -> None:
    platform.counter.split(platform.front_doors[: fault.front_door], platform.front_doors[fault.front_door :])
    await asyncio.sleep(fault.for_s)
    platform.counter.heal()
    platform.record_fault("the keeper is one again, with the counts of the first doors' side")


async def _discovery_unresponsive(platform: FaultTarget, fault: Fault, _: FrontDoors) -> None:
    platform.discovery.set_unresponsive(True)
    await asyncio.sleep(fault.for_s)
    platform.discovery.set_unresponsive(False)


async def _discovery_late(platform: FaultTarget, fault: Fault, _: FrontDoors) -> None:
    platform.discovery.extra_delay_s = fault.size
    await asyncio.sleep(fault.for_s)
    platform.discovery.extra_delay_s = 0.0


async def _discovery_lose(platform: FaultTarget, fault: Fault, _: FrontDoors) -> None:
    platform.discovery.push_loss_ratio = fault.size
    await asyncio.sleep(fault.for_s)
    platform.discovery.push_loss_ratio = 0.0


async def _zone_cut_off(platform: FaultTarget, fault: Fault, _: FrontDoors) -> None:
    platform.relay.set([fault.zone], Condition(partitioned=True))
    await asyncio.sleep(fault.for_s)
    platform.relay.set([fault.zone], Condition())
    platform.record_fault(f"{fault.zone} is back")


async def _zone_slow(platform: FaultTarget, fault: Fault, _: FrontDoors) -> None:
    platform.relay.set([fault.zone], Condition(delay=fault.ms / 1000))
    await asyncio.sleep(fault.for_s)
    platform.relay.set([fault.zone], Condition())


async def _zone_reset(platform: FaultTarget, fault: Fault, _: FrontDoors) -> None:
    platform.relay.reset([fault.zone])


async def _link(platform: FaultTarget, fault: Fault, _: FrontDoors) -> None:
    front_doors = [front_door_name(front_door) for front_door in platform.front_doors[: fault.front_door]]
    if fault.do == "link-reset":
        return platform.relay.reset(front_doors, fault.to)
    platform.relay.set(
        front_doors,
        {
            "link-cut": Condition(partitioned=True),
            "link-silent": Condition(stalled=True, direction=fault.direction),
            "link-slow": Condition(delay=fault.ms / 1000),
        }[fault.do],
        fault.to,
    )
    await asyncio.sleep(fault.for_s)
    platform.relay.set(front_doors, Condition(), fault.to)
    platform.record_fault(f"{len(front_doors)} doors have their ways to {fault.to} again")


async def _front_door_kill(platform: FaultTarget, fault: Fault, front_doors: FrontDoors) -> None:
    await front_doors.kill(fault.front_door, fault.for_s)


async def _front_door_restart(platform: FaultTarget, fault: Fault, front_doors: FrontDoors) -> None:
    await front_doors.restart(fault.front_door)


async def _front_door_stall(platform: FaultTarget, fault: Fault, front_doors: FrontDoors) -> None:
    await front_doors.stall(fault.front_door, fault.for_s)


async def _front_door_reload(platform: FaultTarget, fault: Fault, front_doors: FrontDoors) -> None:
    """Move discovery and counter service to new addresses, and reload all front doors by SIGHUP."""
    await platform.discovery.move(platform.front_doors)
    await platform.counter.move(platform.front_doors)
    for front_door in platform.front_doors:
        await front_doors.reload(front_door)


FAULT_PLAYERS: dict[str, FaultPlayer] = {  # by name in scenario files
    "box-hang": _hang,
    "box-slow": _slow,
    "box-crash": _crash,
    "box-replace": _replace,
    "box-drain": _drain,
    "box-add": _add,
    "box-spoil": _spoil,
    "keeper-silent": _counter_unresponsive,
    "keeper-refuse": _counter_refuse,
    "keeper-slow": _counter_slow,
    "keeper-flush": _counter_flush,
    "keeper-spoil": _counter_spoil,
    "keeper-split": _counter_split,
    "roster-silent": _discovery_unresponsive,
    "roster-late": _discovery_late,
    "roster-lose": _discovery_lose,
    "hall-cut": _zone_cut_off,
    "hall-slow": _zone_slow,
    "hall-reset": _zone_reset,
    "link-cut": _link,
    "link-silent": _link,
    "link-slow": _link,
    "link-reset": _link,
    "door-kill": _front_door_kill,
    "door-restart": _front_door_restart,
    "door-stall": _front_door_stall,
    "door-reload": _front_door_reload,
}
