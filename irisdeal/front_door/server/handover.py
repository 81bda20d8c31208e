"""The I/O of a handover: a Unix socket in the shared folder, the state and the listening socket through it.

What is told and who may spend what is decided in `irisdeal/front_door/handover/`. Only a door whose configuration
has `operator` imports this file.
"""

from __future__ import annotations

import asyncio
import contextlib
import logging
import os
import socket
import struct
import zlib
from collections.abc import Coroutine, Iterator
from typing import TYPE_CHECKING, Any

from irisdeal.front_door.decisions.gateway import Gateway
from irisdeal.front_door.decisions.interface import CeilingShareChanged, ServerAdminStateChanged
from irisdeal.front_door.handover.message import (
    ACCEPTING,
    HEAD,
    MOST_REQUEST,
    Unreadable,
    body,
    read_body,
    read_head,
    read_request,
    request,
)
from irisdeal.front_door.handover.roles import HALF, Duty, Event, Role
from irisdeal.front_door.handover.state import pack, unpack

if TYPE_CHECKING:
    from irisdeal.front_door.server.process_view import ProcessView

log = logging.getLogger("irisdeal.front_door.handover")

ANSWERED = 1.0  # s for an older process to tell its state: the new one owes its yes within 6 s
ASKS_FOR = 3.5  # s that a new process asks again while the older one has one beside it itself
ASKS_AGAIN = 0.05  # s
LEAST_SOCKETS = 128  # descriptors that the new one gets at least: our own, and some for each side
SPARE = 8  # descriptors that the old one may still need beyond those it holds
MOST_PATH = 107  # bytes; unix(7): 108 with the null that ends it
CREDENTIALS = struct.Struct("3i")  # pid, uid, gid (unix(7), SO_PEERCRED)


class Handover:
    """Both sides: what an older process tells this one at its start, and what this one tells a newer."""

    def __init__(self, program: ProcessView, folder: str, loop: asyncio.AbstractEventLoop) -> None:
        self.program, self.folder, self.loop = program, folder, loop
        config = program.config
        self.name, self.listen = config.name, "{}:{}".format(*config.listen)
        self.file = f"irisdeal-{zlib.crc32(f'{self.name} {self.listen}'.encode()):08x}.sock"
        self.role = Role(has_older=False)
        self.told: dict[str, Any] | None = None  # by the older process
        self.shared: socket.socket | None = None  # its listening socket
        self.older: socket.socket | None = None
        self.newer: socket.socket | None = None
        self.desk: socket.socket | None = None  # where a newer process asks
        self.tasks: set[asyncio.Task[None]] = set()
        self.stopped = False

    # From an older process

    async def take(self) -> None:
        """Ask an older process, if there is one, for its state. Whatever fails, the start goes on without."""
        until = self.loop.time() + ASKS_FOR
        while True:
            try:
                async with asyncio.timeout(ANSWERED):
                    told = await self._ask()
            except (FileNotFoundError, ConnectionRefusedError, NotADirectoryError):
                return  # nobody, or what a crash left behind
            except (OSError, TimeoutError, Unreadable) as error:
                log.warning("starting without the older process's state: %s", error or "no answer in time")
                return self._drop_older()
            if why := told.get("refused"):
                self._drop_older()
                if told.get("later") is True and self.loop.time() < until:
                    await asyncio.sleep(ASKS_AGAIN)
                    continue
                return log.warning("starting without the older process's state: %s", why)
            self.told, self.role = told, Role(has_older=True)
            return

    async def _ask(self) -> dict[str, Any]:
        self.older = made = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
        made.setblocking(False)
        with self._reached() as path:
            made.connect(path)  # a Unix socket's connect is done at once, or not at all
        _check_owner(made)
        made.send(request(self.name, self.listen))
        head, files = b"", list[int]()
        while len(head) < HEAD.size:
            part, more = await self._receive(made, HEAD.size - len(head))
            files += more
            if not part:
                raise Unreadable("the older process closed")
            head += part
        if files:
            self.shared = socket.socket(fileno=files[0])
        length, crc = read_head(head)
        parts = bytearray()
        while len(parts) < length:
            part, _ = await self._receive(made, min(1 << 16, length - len(parts)))
            if not part:
                raise Unreadable("the older process closed half way")
            parts += part
        return read_body(bytes(parts), length, crc)

    def settle(self) -> socket.socket | None:
        """Take over what was told, and the list in place of the known one; its socket, where there is one."""
        told, program = self.told, self.program
        if told is None:
            return None
        program.resize(max(LEAST_SOCKETS, min(program.config.sockets, _whole(told.get("sockets")))))
        known = told.get("list")
        if isinstance(known, dict) and known.get("members"):
            program.discovery.known = known
        program.discovery.remember()
        self._do(Duty(HALF, True, True, False))
        decider = program.door.decider
        if isinstance(decider, Gateway):
            try:
                count = unpack(told, decider, program.host.now())
                log.info(
                    "took over from an older process: %d customers, %d bans",
                    count,
                    len(decider.disabled_servers),
                )
            except (ValueError, TypeError, KeyError, OverflowError) as error:
                log.warning("the older process's state is of no use: %s", error)
            for server in decider.disabled_servers:
                program.door.post(ServerAdminStateChanged(server, True))
            if program.operator is not None:
                ids = [one.encode("latin-1", "ignore") for one in told.get("ids", ()) if isinstance(one, str)]
                program.operator.bans.named([*ids, *decider.disabled_servers])
                program.operator.bans.banned.update(dict.fromkeys(decider.disabled_servers))
            program.door.turn()
        self.told = None
        return self.shared

    def accepting(self) -> None:
        """This process accepts: the older one need not, and a newer one may ask."""
        if self.older is not None:
            with contextlib.suppress(OSError):
                self.older.send(ACCEPTING)
            self._start(self._watch_older(self.older))
        self._open_desk()

    async def _watch_older(self, older: socket.socket) -> None:
        with contextlib.suppress(OSError):
            while (await self._receive(older, 64))[0]:
                pass  # it has nothing more to say
        self._drop_older()
        if (duty := self.role.hear(Event.OLDER_ENDED)) is not None and not self.stopped:
            log.info("the older process has ended")
            self._do(duty)

    # To a newer process

    def _open_desk(self) -> None:
        if self.stopped or self.desk is not None:
            return
        made = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
        try:
            made.setblocking(False)
            with self._reached() as path:
                own = f"{path}.{os.getpid()}"
                with contextlib.suppress(FileNotFoundError):
                    os.unlink(own)
                made.bind(own)
                os.chmod(own, 0o600)
                made.listen(4)
                os.rename(own, path)  # in one step: whoever asks finds the older one or this one
        except OSError as error:
            made.close()
            return log.warning("no newer process can take over: %s", error)
        self.desk = made
        self.loop.add_reader(made, self._called)

    def _close_desk(self) -> None:
        if self.desk is not None:
            self.loop.remove_reader(self.desk)
            self.desk.close()
            self.desk = None

    def _called(self) -> None:
        assert self.desk is not None
        try:
            made, _ = self.desk.accept()
        except OSError:
            return
        made.setblocking(False)
        self._start(self._serve(made))

    async def _serve(self, newer: socket.socket) -> None:
        try:
            _check_owner(newer)
            async with asyncio.timeout(ANSWERED):
                line = b""
                while not line.endswith(b"\n") and len(line) < MOST_REQUEST:
                    part, _ = await self._receive(newer, MOST_REQUEST - len(line))
                    if not part:
                        raise Unreadable("closed half way")
                    line += part
            read_request(line, self.name, self.listen)
            if not self.role.may_tell() or not isinstance(self.program.door.decider, Gateway):
                refusal = body({"refused": "another handover is under way", "later": True})
                await self.loop.sock_sendall(newer, refusal)
                return newer.close()
        except (OSError, TimeoutError, Unreadable) as error:
            log.warning("a handover was not begun: %s", error or "no request in time")
            with contextlib.suppress(OSError):
                newer.send(body({"refused": str(error)}))
            return newer.close()
        await self._tell(newer)

    async def _tell(self, newer: socket.socket) -> None:
        self.newer = newer
        try:
            text = self._state()
            listening = self.program.clients.listener.socket
            files = [listening.fileno()] if listening is not None else []
            socket.send_fds(newer, [text[: HEAD.size]], files)
            await self.loop.sock_sendall(newer, text[HEAD.size :])
            heard = b""
            while part := (await self._receive(newer, 64))[0]:
                heard = (heard + part)[-64:]
                if ACCEPTING in heard and (duty := self.role.hear(Event.ACCEPTS)) is not None:
                    log.info("the newer process accepts")
                    self._close_desk()  # its own is there by now, or soon
                    self._do(duty)
        except OSError as error:
            log.warning("the newer process has gone: %s", error)
        except Unreadable as error:
            log.warning("the state cannot be told: %s", error)
        self.newer = None
        newer.close()
        if (duty := self.role.hear(Event.NEWER_ENDED)) is not None and not self.stopped:
            log.warning("the newer process has ended: this one goes on")
            self._do(duty)
            self._open_desk()

    def _state(self) -> bytes:
        """Told in one turn with the step that halves what this process may spend."""
        program, gateway = self.program, self.program.door.decider
        assert isinstance(gateway, Gateway)
        program.door.turn()  # what has come is decided before it is told
        keeps = min(
            max(program.config.sockets // 2, program.held() + SPARE), program.config.sockets - LEAST_SOCKETS
        )
        told = pack(gateway, program.host.now(), HALF)
        told["sockets"] = program.config.sockets - keeps
        told["list"] = program.discovery.reader.write(
            program.discovery.schedule.version,
            [s.listed_entry() for s in gateway.servers.values()],
            program.door.places,
        )
        if program.operator is not None:
            told["ids"] = [server.decode("latin-1") for server in program.operator.bans.known]
        text = body(told)
        if (duty := self.role.hear(Event.ASKED)) is not None:
            self._do(duty)
        program.resize(keeps)
        return text

    # Both

    def _do(self, duty: Duty) -> None:
        program = self.program
        program.door.post(CeilingShareChanged(duty.part, duty.warms and duty.at_once))
        if duty.warms and not duty.at_once:
            pause = program.config.settings.collapse_window_us / 1e6
            self.loop.call_later(pause, self._warm_again)
        if duty.part == 1.0:
            program.resize(program.config.sockets)
        if not program.stopping:
            program.clients.draining = duty.yields
        if duty.accepts:
            program.clients.listener.resume()
        else:
            program.clients.listener.suspend()
        program.door.turn()

    def _warm_again(self) -> None:
        if self.role.may_tell():  # alone still
            self.program.door.post(CeilingShareChanged(1.0, True))

    def stop(self) -> None:
        """This process ends; the other hears it by the connection."""
        self.stopped = True
        if self.desk is not None:
            with contextlib.suppress(OSError), self._reached() as path:
                os.unlink(path)  # nobody has taken its place: a newer one would have closed our desk
        self._close_desk()
        for task in list(self.tasks):
            task.cancel()
        if self.newer is not None:
            self.newer.close()
        self._drop_older()

    def _drop_older(self) -> None:
        if self.older is not None:
            self.older.close()
            self.older = None

    def _start(self, work: Coroutine[Any, Any, None]) -> None:
        task = self.loop.create_task(work)
        self.tasks.add(task)  # the loop holds tasks weakly
        task.add_done_callback(self.tasks.discard)

    @contextlib.contextmanager
    def _reached(self) -> Iterator[str]:
        """A path by which the socket can be named, however long the folder's is."""
        path = os.path.join(self.folder, self.file)
        if len(os.fsencode(path)) + 12 <= MOST_PATH:  # with room for the number behind it
            yield path
            return
        folder = os.open(self.folder, os.O_RDONLY | os.O_DIRECTORY)
        try:
            yield f"/proc/self/fd/{folder}/{self.file}"
        finally:
            os.close(folder)

    async def _receive(self, source: socket.socket, most: int) -> tuple[bytes, list[int]]:
        """Bytes and descriptors as they come; no bytes at the end."""
        while True:
            try:
                part, files, _, _ = socket.recv_fds(source, most, 1)
                return part, files
            except BlockingIOError:
                readable = asyncio.Event()
                self.loop.add_reader(source, readable.set)
                try:
                    await readable.wait()
                finally:
                    self.loop.remove_reader(source)


def _check_owner(peer: socket.socket) -> None:
    """Unreadable where the other end is another user's process: it must not be told, nor believed."""
    _, user, _ = CREDENTIALS.unpack(peer.getsockopt(socket.SOL_SOCKET, socket.SO_PEERCRED, CREDENTIALS.size))
    if user != os.getuid():
        raise Unreadable(f"a process of user {user}: wanted {os.getuid()}")


def _whole(value: object) -> int:
    return value if isinstance(value, int) and not isinstance(value, bool) else 0
