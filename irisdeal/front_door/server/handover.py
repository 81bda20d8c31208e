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

HANDOVER_TIMEOUT_S = 1.0  # s for an older process to tell its state: the new one owes its yes within 6 s
RETRY_PERIOD_S = 3.5  # s that a new process asks again while the older one has one beside it itself
RETRY_DELAY_S = 0.05  # s
MIN_NEWER_SOCKETS = 128  # descriptors that the new one gets at least: our own, and some for each side
SPARE_SOCKETS = 8  # descriptors that the old one may still need beyond those it holds
MAX_SOCKET_PATH_BYTES = 107  # bytes; unix(7): 108 with the null that ends it
CREDENTIALS = struct.Struct("3i")  # pid, uid, gid (unix(7), SO_PEERCRED)


class Handover:
    """Both sides: what an older process tells this one at its start, and what this one tells a newer."""

    def __init__(self, program: ProcessView, folder: str, loop: asyncio.AbstractEventLoop) -> None:
        self.program, self.folder, self.loop = program, folder, loop
        config = program.config
        self.name, self.listen = config.name, "{}:{}".format(*config.listen)
        self.socket_name = f"irisdeal-{zlib.crc32(f'{self.name} {self.listen}'.encode()):08x}.sock"
        self.role = Role(has_older=False)
        self.received_state: dict[str, Any] | None = None  # by the older process
        self.listening_socket: socket.socket | None = None  # its listening socket
        self.older_connection: socket.socket | None = None
        self.newer_connection: socket.socket | None = None
        self.request_socket: socket.socket | None = None  # where a newer process asks
        self.tasks: set[asyncio.Task[None]] = set()
        self.stopped = False

    # From an older process

    async def fetch_state(self) -> None:
        """Ask an older process, if there is one, for its state. Whatever fails, the start goes on without."""
        until = self.loop.time() + RETRY_PERIOD_S
        while True:
            try:
                async with asyncio.timeout(HANDOVER_TIMEOUT_S):
                    told = await self._request_state()
            except (FileNotFoundError, ConnectionRefusedError, NotADirectoryError):
                return  # nobody, or what a crash left behind
            except (OSError, TimeoutError, Unreadable) as error:
                log.warning("starting without the older process's state: %s", error or "no answer in time")
                return self._close_older_connection()
            if why := told.get("refused"):
                self._close_older_connection()
                if told.get("later") is True and self.loop.time() < until:
                    await asyncio.sleep(RETRY_DELAY_S)
                    continue
                return log.warning("starting without the older process's state: %s", why)
            self.received_state, self.role = told, Role(has_older=True)
            return

    async def _request_state(self) -> dict[str, Any]:
        self.older_connection = made = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
        made.setblocking(False)
        with self._socket_path() as path:
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
            self.listening_socket = socket.socket(fileno=files[0])
        length, crc = read_head(head)
        parts = bytearray()
        while len(parts) < length:
            part, _ = await self._receive(made, min(1 << 16, length - len(parts)))
            if not part:
                raise Unreadable("the older process closed half way")
            parts += part
        return read_body(bytes(parts), length, crc)

    def apply_state(self) -> socket.socket | None:
        """Take over what was told, and the list in place of the known one; its socket, where there is one."""
        told, program = self.received_state, self.program
        if told is None:
            return None
        program.resize(
            max(MIN_NEWER_SOCKETS, min(program.config.max_sockets, _integer_or_zero(told.get("sockets"))))
        )
        known = told.get("list")
        if isinstance(known, dict) and known.get("members"):
            program.discovery.known_list = known
        program.discovery.apply_known_list()
        self._apply_duty(Duty(HALF, True, True, False))
        decider = program.decision_loop.decider
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
                program.decision_loop.post(ServerAdminStateChanged(server, True))
            if program.operator is not None:
                ids = [one.encode("latin-1", "ignore") for one in told.get("ids", ()) if isinstance(one, str)]
                program.operator.bans.named([*ids, *decider.disabled_servers])
                program.operator.bans.banned.update(dict.fromkeys(decider.disabled_servers))
            program.decision_loop.process_events()
        self.received_state = None
        return self.listening_socket

    def announce_accepting(self) -> None:
        """This process accepts: the older one need not, and a newer one may ask."""
        if self.older_connection is not None:
            with contextlib.suppress(OSError):
                self.older_connection.send(ACCEPTING)
            self._start_task(self._watch_older(self.older_connection))
        self._open_request_socket()

    async def _watch_older(self, older: socket.socket) -> None:
        with contextlib.suppress(OSError):
            while (await self._receive(older, 64))[0]:
                pass  # it has nothing more to say
        self._close_older_connection()
        if (duty := self.role.hear(Event.OLDER_ENDED)) is not None and not self.stopped:
            log.info("the older process has ended")
            self._apply_duty(duty)

    # To a newer process

    def _open_request_socket(self) -> None:
        if self.stopped or self.request_socket is not None:
            return
        made = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
        try:
            made.setblocking(False)
            with self._socket_path() as path:
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
        self.request_socket = made
        self.loop.add_reader(made, self._accept_request)

    def _close_request_socket(self) -> None:
        if self.request_socket is not None:
            self.loop.remove_reader(self.request_socket)
            self.request_socket.close()
            self.request_socket = None

    def _accept_request(self) -> None:
        assert self.request_socket is not None
        try:
            made, _ = self.request_socket.accept()
        except OSError:
            return
        made.setblocking(False)
        self._start_task(self._serve(made))

    async def _serve(self, newer: socket.socket) -> None:
        try:
            _check_owner(newer)
            async with asyncio.timeout(HANDOVER_TIMEOUT_S):
                line = b""
                while not line.endswith(b"\n") and len(line) < MOST_REQUEST:
                    part, _ = await self._receive(newer, MOST_REQUEST - len(line))
                    if not part:
                        raise Unreadable("closed half way")
                    line += part
            read_request(line, self.name, self.listen)
            if not self.role.may_tell() or not isinstance(self.program.decision_loop.decider, Gateway):
                refusal = body({"refused": "another handover is under way", "later": True})
                await self.loop.sock_sendall(newer, refusal)
                return newer.close()
        except (OSError, TimeoutError, Unreadable) as error:
            log.warning("a handover was not begun: %s", error or "no request in time")
            with contextlib.suppress(OSError):
                newer.send(body({"refused": str(error)}))
            return newer.close()
        await self._send_state(newer)

    async def _send_state(self, newer: socket.socket) -> None:
        self.newer_connection = newer
        try:
            text = self._encode_state()
            listening = self.program.clients.listener.socket
            files = [listening.fileno()] if listening is not None else []
            socket.send_fds(newer, [text[: HEAD.size]], files)
            await self.loop.sock_sendall(newer, text[HEAD.size :])
            heard = b""
            while part := (await self._receive(newer, 64))[0]:
                heard = (heard + part)[-64:]
                if ACCEPTING in heard and (duty := self.role.hear(Event.ACCEPTS)) is not None:
                    log.info("the newer process accepts")
                    self._close_request_socket()  # its own is there by now, or soon
                    self._apply_duty(duty)
        except OSError as error:
            log.warning("the newer process has gone: %s", error)
        except Unreadable as error:
            log.warning("the state cannot be told: %s", error)
        self.newer_connection = None
        newer.close()
        if (duty := self.role.hear(Event.NEWER_ENDED)) is not None and not self.stopped:
            log.warning("the newer process has ended: this one goes on")
            self._apply_duty(duty)
            self._open_request_socket()

    def _encode_state(self) -> bytes:
        """Told in one turn with the step that halves what this process may spend."""
        program, gateway = self.program, self.program.decision_loop.decider
        assert isinstance(gateway, Gateway)
        program.decision_loop.process_events()  # what has come is decided before it is told
        keeps = min(
            max(program.config.max_sockets // 2, program.descriptors_in_use() + SPARE_SOCKETS),
            program.config.max_sockets - MIN_NEWER_SOCKETS,
        )
        told = pack(gateway, program.host.now(), HALF)
        told["sockets"] = program.config.max_sockets - keeps
        told["list"] = program.discovery.reader.write(
            program.discovery.schedule.version,
            [s.listed_entry() for s in gateway.servers.values()],
            program.decision_loop.addresses,
        )
        if program.operator is not None:
            told["ids"] = [server.decode("latin-1") for server in program.operator.bans.known]
        text = body(told)
        if (duty := self.role.hear(Event.ASKED)) is not None:
            self._apply_duty(duty)
        program.resize(keeps)
        return text

    # Both

    def _apply_duty(self, duty: Duty) -> None:
        program = self.program
        program.decision_loop.post(CeilingShareChanged(duty.part, duty.warms and duty.at_once))
        if duty.warms and not duty.at_once:
            pause = program.config.settings.collapse_window_us / 1e6
            self.loop.call_later(pause, self._warm_again)
        if duty.part == 1.0:
            program.resize(program.config.max_sockets)
        if not program.is_stopping:
            program.clients.draining = duty.yields
        if duty.accepts:
            program.clients.listener.resume()
        else:
            program.clients.listener.suspend()
        program.decision_loop.process_events()

    def _warm_again(self) -> None:
        if self.role.may_tell():  # alone still
            self.program.decision_loop.post(CeilingShareChanged(1.0, True))

    def stop(self) -> None:
        """This process ends; the other hears it by the connection."""
        self.stopped = True
        if self.request_socket is not None:
            with contextlib.suppress(OSError), self._socket_path() as path:
                os.unlink(path)  # nobody has taken its place: a newer one would have closed our desk
        self._close_request_socket()
        for task in list(self.tasks):
            task.cancel()
        if self.newer_connection is not None:
            self.newer_connection.close()
        self._close_older_connection()

    def _close_older_connection(self) -> None:
        if self.older_connection is not None:
            self.older_connection.close()
            self.older_connection = None

    def _start_task(self, work: Coroutine[Any, Any, None]) -> None:
        task = self.loop.create_task(work)
        self.tasks.add(task)  # the loop holds tasks weakly
        task.add_done_callback(self.tasks.discard)

    @contextlib.contextmanager
    def _socket_path(self) -> Iterator[str]:
        """A path by which the socket can be named, however long the folder's is."""
        path = os.path.join(self.folder, self.socket_name)
        if len(os.fsencode(path)) + 12 <= MAX_SOCKET_PATH_BYTES:  # with room for the number behind it
            yield path
            return
        folder = os.open(self.folder, os.O_RDONLY | os.O_DIRECTORY)
        try:
            yield f"/proc/self/fd/{folder}/{self.socket_name}"
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


def _integer_or_zero(value: object) -> int:
    return value if isinstance(value, int) and not isinstance(value, bool) else 0
