"""Handover between an old and a new process: sends state and the listening socket through a Unix socket.

The messages, and how the two processes share quotas, are defined in `irisdeal/front_door/handover/`. Imported only
where the configuration has `operator`.
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
    HEADER,
    MAX_REQUEST_BYTES,
    HandoverError,
    check_request,
    decode_body,
    decode_header,
    encode_message,
    encode_request,
)
from irisdeal.front_door.handover.roles import HALF_SHARE, Event, HandoverRole, ProcessMode
from irisdeal.front_door.handover.state import export_state, import_state

if TYPE_CHECKING:
    from irisdeal.front_door.server.process_view import ProcessView

log = logging.getLogger("irisdeal.front_door.handover")

HANDOVER_TIMEOUT_S = 1.0  # for the state of the older process: the newer one must be ready within 6 s
RETRY_PERIOD_S = 3.5  # for retries while the older process is in another handover
RETRY_DELAY_S = 0.05
MIN_NEWER_SOCKETS = 128  # for the newer process: its own descriptors, and some for clients and backends
SPARE_SOCKETS = 8  # for the older process, beyond its descriptors in use
MAX_SOCKET_PATH_BYTES = 107  # unix(7): 108 with the terminating null byte
CREDENTIALS = struct.Struct("3i")  # pid, uid, gid (unix(7), SO_PEERCRED)


class Handover:
    """Receives the state of an older process at the start, and sends its own state to a newer process."""

    def __init__(self, program: ProcessView, folder: str, loop: asyncio.AbstractEventLoop) -> None:
        self.program, self.folder, self.loop = program, folder, loop
        config = program.config
        self.name, self.listen = config.name, "{}:{}".format(*config.listen)
        self.socket_name = f"irisdeal-{zlib.crc32(f'{self.name} {self.listen}'.encode()):08x}.sock"
        self.role = HandoverRole(has_older=False)
        self.received_state: dict[str, Any] | None = None  # of the older process
        self.listening_socket: socket.socket | None = None  # of the older process
        self.older_connection: socket.socket | None = None
        self.newer_connection: socket.socket | None = None
        self.request_socket: socket.socket | None = None  # accepts the request of a newer process
        self.tasks: set[asyncio.Task[None]] = set()
        self.stopped = False

    # From an older process

    async def fetch_state(self) -> None:
        """Request the state of an older process, if there is one; errors are logged and the start continues."""
        deadline = self.loop.time() + RETRY_PERIOD_S
        while True:
            try:
                async with asyncio.timeout(HANDOVER_TIMEOUT_S):
                    state = await self._request_state()
            except (FileNotFoundError, ConnectionRefusedError, NotADirectoryError):
                return  # no older process, or it crashed and left its socket
            except (OSError, TimeoutError, HandoverError) as error:
                log.warning("starting without the older process's state: %s", error or "no response in time")
                return self._close_older_connection()
            if reason := state.get("refused"):
                self._close_older_connection()
                if state.get("later") is True and self.loop.time() < deadline:
                    await asyncio.sleep(RETRY_DELAY_S)
                    continue
                return log.warning("starting without the older process's state: %s", reason)
            self.received_state, self.role = state, HandoverRole(has_older=True)
            return

    async def _request_state(self) -> dict[str, Any]:
        self.older_connection = connection = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
        connection.setblocking(False)
        with self._socket_path() as path:
            connection.connect(path)  # connecting a Unix socket succeeds or fails at once
        _check_owner(connection)
        connection.send(encode_request(self.name, self.listen))
        head, files = b"", list[int]()
        while len(head) < HEADER.size:
            part, more_files = await self._receive(connection, HEADER.size - len(head))
            files += more_files
            if not part:
                raise HandoverError("the older process closed the connection")
            head += part
        if files:
            self.listening_socket = socket.socket(fileno=files[0])
        length, crc = decode_header(head)
        parts = bytearray()
        while len(parts) < length:
            part, _ = await self._receive(connection, min(1 << 16, length - len(parts)))
            if not part:
                raise HandoverError("the older process closed the connection before the end of its state")
            parts += part
        return decode_body(bytes(parts), length, crc)

    def apply_state(self) -> socket.socket | None:
        """Apply the received state, including the server list; return the listening socket, if there is one."""
        state, program = self.received_state, self.program
        if state is None:
            return None
        program.resize(
            max(MIN_NEWER_SOCKETS, min(program.config.max_sockets, _integer_or_zero(state.get("sockets"))))
        )
        known_list = state.get("list")
        if isinstance(known_list, dict) and known_list.get("members"):
            program.discovery.known_list = known_list
        program.discovery.apply_known_list()
        self._apply_mode(ProcessMode(HALF_SHARE, True, True, False))
        decider = program.decision_loop.decider
        if isinstance(decider, Gateway):
            try:
                count = import_state(state, decider, program.host.now())
                log.info(
                    "received the state of the older process: %d customers, %d bans",
                    count,
                    len(decider.disabled_servers),
                )
            except (ValueError, TypeError, KeyError, OverflowError) as error:
                log.warning("cannot use the older process's state: %s", error)
            for server in decider.disabled_servers:
                program.decision_loop.post(ServerAdminStateChanged(server, True))
            if program.operator is not None:
                ids = [
                    identifier.encode("latin-1", "ignore")
                    for identifier in state.get("ids", ())
                    if isinstance(identifier, str)
                ]
                program.operator.bans.record_listed([*ids, *decider.disabled_servers])
                program.operator.bans.banned.update(dict.fromkeys(decider.disabled_servers))
            program.decision_loop.process_events()
        self.received_state = None
        return self.listening_socket

    def announce_accepting(self) -> None:
        """Notify the older process that this one accepts connections, and allow newer processes to connect."""
        if self.older_connection is not None:
            with contextlib.suppress(OSError):
                self.older_connection.send(ACCEPTING)
            self._start_task(self._watch_older(self.older_connection))
        self._open_request_socket()

    async def _watch_older(self, older: socket.socket) -> None:
        with contextlib.suppress(OSError):
            while (await self._receive(older, 64))[0]:
                pass  # no further messages are defined
        self._close_older_connection()
        if (mode := self.role.handle(Event.OLDER_ENDED)) is not None and not self.stopped:
            log.info("the older process has ended")
            self._apply_mode(mode)

    # To a newer process

    def _open_request_socket(self) -> None:
        if self.stopped or self.request_socket is not None:
            return
        listening_socket = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
        try:
            listening_socket.setblocking(False)
            with self._socket_path() as path:
                own_path = f"{path}.{os.getpid()}"
                with contextlib.suppress(FileNotFoundError):
                    os.unlink(own_path)
                listening_socket.bind(own_path)
                os.chmod(own_path, 0o600)
                listening_socket.listen(4)
                os.rename(own_path, path)  # atomic: a newer process finds the older process or this one
        except OSError as error:
            listening_socket.close()
            return log.warning("cannot accept handovers to a newer process: %s", error)
        self.request_socket = listening_socket
        self.loop.add_reader(listening_socket, self._accept_request)

    def _close_request_socket(self) -> None:
        if self.request_socket is not None:
            self.loop.remove_reader(self.request_socket)
            self.request_socket.close()
            self.request_socket = None

    def _accept_request(self) -> None:
        assert self.request_socket is not None
        try:
            connection, _ = self.request_socket.accept()
        except OSError:
            return
        connection.setblocking(False)
        self._start_task(self._serve(connection))

    async def _serve(self, newer: socket.socket) -> None:
        try:
            _check_owner(newer)
            async with asyncio.timeout(HANDOVER_TIMEOUT_S):
                line = b""
                while not line.endswith(b"\n") and len(line) < MAX_REQUEST_BYTES:
                    part, _ = await self._receive(newer, MAX_REQUEST_BYTES - len(line))
                    if not part:
                        raise HandoverError("closed half way")
                    line += part
            check_request(line, self.name, self.listen)
            if not self.role.can_hand_over() or not isinstance(self.program.decision_loop.decider, Gateway):
                rejection = encode_message({"refused": "another handover is under way", "later": True})
                await self.loop.sock_sendall(newer, rejection)
                return newer.close()
        except (OSError, TimeoutError, HandoverError) as error:
            log.warning("handover rejected: %s", error or "no request in time")
            with contextlib.suppress(OSError):
                newer.send(encode_message({"refused": str(error)}))
            return newer.close()
        await self._send_state(newer)

    async def _send_state(self, newer: socket.socket) -> None:
        self.newer_connection = newer
        try:
            message = self._encode_state()
            listening_socket = self.program.clients.listener.socket
            files = [listening_socket.fileno()] if listening_socket is not None else []
            socket.send_fds(newer, [message[: HEADER.size]], files)
            await self.loop.sock_sendall(newer, message[HEADER.size :])
            received = b""
            while part := (await self._receive(newer, 64))[0]:
                received = (received + part)[-64:]
                if ACCEPTING in received and (mode := self.role.handle(Event.NEWER_ACCEPTS)) is not None:
                    log.info("the newer process accepts connections")
                    self._close_request_socket()  # the newer process opens its own
                    self._apply_mode(mode)
        except OSError as error:
            log.warning("lost the connection to the newer process: %s", error)
        except HandoverError as error:
            log.warning("cannot send the state: %s", error)
        self.newer_connection = None
        newer.close()
        if (mode := self.role.handle(Event.NEWER_ENDED)) is not None and not self.stopped:
            log.warning("the newer process has ended, this one continues")
            self._apply_mode(mode)
            self._open_request_socket()

    def _encode_state(self) -> bytes:
        """Encode the state and halve the quotas of this process, in the same loop iteration."""
        program, gateway = self.program, self.program.decision_loop.decider
        assert isinstance(gateway, Gateway)
        program.decision_loop.process_events()  # decide on received events first
        own_sockets = min(
            max(program.config.max_sockets // 2, program.descriptors_in_use() + SPARE_SOCKETS),
            program.config.max_sockets - MIN_NEWER_SOCKETS,
        )
        state = export_state(gateway, program.host.now(), HALF_SHARE)
        state["sockets"] = program.config.max_sockets - own_sockets
        state["list"] = program.discovery.reader.write(
            program.discovery.schedule.version,
            [s.listed_entry() for s in gateway.servers.values()],
            program.decision_loop.addresses,
        )
        if program.operator is not None:
            state["ids"] = [server.decode("latin-1") for server in program.operator.bans.known]
        message = encode_message(state)
        if (mode := self.role.handle(Event.STATE_REQUESTED)) is not None:
            self._apply_mode(mode)
        program.resize(own_sockets)
        return message

    # Shared by both sides

    def _apply_mode(self, mode: ProcessMode) -> None:
        program = self.program
        program.decision_loop.post(
            CeilingShareChanged(mode.ceiling_share, mode.uses_cold_servers and mode.is_immediate)
        )
        if mode.uses_cold_servers and not mode.is_immediate:
            delay_s = program.config.settings.collapse_window_us / 1e6
            self.loop.call_later(delay_s, self._allow_cold_servers)
        if mode.ceiling_share == 1.0:
            program.resize(program.config.max_sockets)
        if not program.is_stopping:
            program.clients.draining = mode.closes_connections
        if mode.accepts_connections:
            program.clients.listener.resume()
        else:
            program.clients.listener.suspend()
        program.decision_loop.process_events()

    def _allow_cold_servers(self) -> None:
        if self.role.can_hand_over():  # still the only process
            self.program.decision_loop.post(CeilingShareChanged(1.0, True))

    def stop(self) -> None:
        """End the handover; the other process notices that the connection is closed."""
        self.stopped = True
        if self.request_socket is not None:
            with contextlib.suppress(OSError), self._socket_path() as path:
                os.unlink(path)  # still the path of this process: a newer one would have closed the socket
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

    def _start_task(self, coroutine: Coroutine[Any, Any, None]) -> None:
        task = self.loop.create_task(coroutine)
        self.tasks.add(task)  # the event loop keeps only weak references
        task.add_done_callback(self.tasks.discard)

    @contextlib.contextmanager
    def _socket_path(self) -> Iterator[str]:
        """A path of the socket within the limit of Unix socket addresses, however long the folder's path is."""
        path = os.path.join(self.folder, self.socket_name)
        if len(os.fsencode(path)) + 12 <= MAX_SOCKET_PATH_BYTES:  # and the suffix with the process id
            yield path
            return
        folder = os.open(self.folder, os.O_RDONLY | os.O_DIRECTORY)
        try:
            yield f"/proc/self/fd/{folder}/{self.socket_name}"
        finally:
            os.close(folder)

    async def _receive(self, source: socket.socket, max_bytes: int) -> tuple[bytes, list[int]]:
        """Receive bytes and descriptors; no bytes at the end of the stream."""
        while True:
            try:
                part, files, _, _ = socket.recv_fds(source, max_bytes, 1)
                return part, files
            except BlockingIOError:
                readable = asyncio.Event()
                self.loop.add_reader(source, readable.set)
                try:
                    await readable.wait()
                finally:
                    self.loop.remove_reader(source)


def _check_owner(peer: socket.socket) -> None:
    """Raises HandoverError if the peer is a process of another user, which is not trusted."""
    _, user, _ = CREDENTIALS.unpack(peer.getsockopt(socket.SOL_SOCKET, socket.SO_PEERCRED, CREDENTIALS.size))
    if user != os.getuid():
        raise HandoverError(f"a process of user {user}: wanted {os.getuid()}")


def _integer_or_zero(value: object) -> int:
    return value if isinstance(value, int) and not isinstance(value, bool) else 0
