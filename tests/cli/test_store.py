"""Tests of `irisdeal store`: reading folders, surveys of replicas, and the adoption of a new member list."""

from __future__ import annotations

import asyncio
import json
import shlex
import socket
from collections.abc import Iterable
from pathlib import Path
from typing import Any

import click
import pytest
from click.testing import CliRunner, Result

from irisdeal.cli.main import main
from irisdeal.cli.store import store
from irisdeal.config_store.configuration.version import ConfigVersion
from irisdeal.config_store.consensus.register import (
    NO_BALLOT,
    UNKNOWN_VALUE,
    AcceptorState,
    Ballot,
    BallotAttempt,
    BallotStep,
    Change,
    Value,
    on_accept,
    on_prepare,
    put,
    set_members,
    unchanged,
)
from irisdeal.config_store.membership import adoption, survey
from irisdeal.config_store.membership.members import Members, format_seat, ip_of
from irisdeal.config_store.membership.messages import ReplicaStatus
from irisdeal.config_store.membership.survey import Survey
from irisdeal.config_store.membership.survey import survey as query_survey
from irisdeal.config_store.storage.acceptor_state import FILE_NAME, AcceptorStateFile, PersistedState
from irisdeal.config_store.storage.folder import DiskFolder, Folder
from irisdeal.config_store.storage.inspection import find_version, inspect_folder, newest_version, verify
from irisdeal.config_store.storage.version_files import VersionFiles
from irisdeal.rpc.server import RpcServer
from irisdeal.runtime.settings import Address
from irisdeal.simulation.disk import MemoryDisk

PORT = 7340
IPS = ("10.0.0.1", "10.0.0.2", "10.0.0.3")
LIST = Members.initial(IPS)


def version(number: int) -> ConfigVersion:
    return ConfigVersion.of(f"r{number}", b'{"generation": "r%d"}' % number)


def value(change: int, number: int, members: Members = LIST) -> Value:
    return Value(change, version(number).version_id, members)


def write_store(folder: Folder, accepted: Value, decided: Value, bodies: Iterable[int]) -> Folder:
    """Write a folder as a store does."""
    ballot = Ballot(accepted.change, format_seat(IPS[0], "first"))
    files = VersionFiles(folder)
    for number in bodies:
        files.save(version(number))
    AcceptorStateFile(folder).write(PersistedState("first", AcceptorState(ballot, ballot, accepted), decided))
    return folder


def report(
    ip: str,
    decided: Value,
    disk: str = "first",
    accepted: Value | None = None,
    holds: bool = True,
) -> ReplicaStatus:
    return ReplicaStatus(format_seat(ip, disk), "z", NO_BALLOT, accepted or decided, decided, holds)


def survey_of(*reports: ReplicaStatus, silent: Iterable[str] = ()) -> Survey:
    return Survey({(status.ip, PORT): status for status in reports}, {(ip, PORT): "silent" for ip in silent})


# Folders


def test_a_complete_folder_verifies_and_each_version_has_a_status() -> None:
    disk = inspect_folder(write_store(MemoryDisk(), value(3, 3), value(2, 2), (1, 2, 3)))
    assert not verify(disk)
    assert [disk.status(version(number).version_id) for number in (1, 2, 3)] == [
        "kept",
        "decided",
        "accepted",
    ]
    assert (
        newest_version(disk) == version(2)
        and find_version(disk, "r3") == version(3)
        and find_version(disk, "r4") is None
    )


def test_of_two_bodies_with_one_number_the_accepted_one_is_exported() -> None:
    folder = write_store(MemoryDisk(), value(1, 1), value(1, 1), (1,))
    other = ConfigVersion.of("r1", b'{"generation": "r1", "limits": {}}')
    VersionFiles(folder).save(other)
    disk = inspect_folder(folder)
    assert len(disk.versions) == 2 and find_version(disk, "r1") == version(1)


@pytest.mark.parametrize("damage", ["torn-body", "torn-kept", "no-body", "no-kept"])
def test_damage_in_a_folder_is_reported_with_the_file(damage: str) -> None:
    folder = write_store(MemoryDisk(), value(2, 2), value(2, 2), (1, 2) if damage != "no-body" else (1,))
    names = {"torn-kept": FILE_NAME, "no-kept": FILE_NAME}
    name = names.get(damage, next(name for name in folder.list_files() if name.startswith("r")))
    if damage == "no-kept":
        folder.remove(name)
    elif damage != "no-body":
        folder.write(name, folder.read(name)[:-3])
    found = verify(inspect_folder(folder))
    assert len(found) == 1 and found[0].peer == ("r2" if damage == "no-body" else name)


# Running stores


def test_a_survey_finds_all_replicas_from_one_and_counts_the_spare_members() -> None:
    ips, decided = (
        [f"127.0.9.{number}" for number in (1, 2, 3, 4)],
        value(4, 4, Members.initial([f"127.0.9.{number}" for number in (1, 2, 3)])),
    )
    with socket.socket() as free:
        free.bind((ips[0], 0))
        port = free.getsockname()[1]

    async def go() -> Survey:
        servers = []
        for ip in (ips[0], ips[2], ips[3]):

            async def answers(peer: str, kind: str, body: Any, ip: str = ip) -> Any:
                assert (kind, body) == ("state", None)
                return report(ip, decided).encode()

            servers.append(RpcServer(answers))
            await servers[-1].listen((ip, port))
        try:
            return await query_survey([(ips[0], port), (ips[3], port)])
        finally:
            for server in servers:
                server.close()

    found = asyncio.run(go())
    assert found.has_quorum and found.spare_members() == 0 and found.decided == decided
    assert list(found.failures) == [(ips[1], port)] and found.learners() == [f"{ips[3]}/first"]


def test_a_missing_quorum_is_detected_also_in_a_joint_configuration() -> None:
    joint = value(5, 5, LIST.enter_joint([*LIST.seats, "10.0.0.4/x", "10.0.0.5/x"]))
    assert survey_of(*(report(ip, joint) for ip in IPS)).spare_members() == 0
    assert survey_of(*(report(ip, joint) for ip in IPS[:2])).spare_members() == -1
    assert survey_of().spare_members() == -1 and not survey_of().has_quorum


# Adoption of a new list


DISK = (value(3, 3), value(3, 3), (2, 3))
ALL = ("10.0.0.2", "10.0.0.3")


def refusals_for(survey: Survey, *confirmed: str, folder: Folder | None = None) -> list[str]:
    disk = inspect_folder(folder or write_store(MemoryDisk(), *DISK))
    return adoption.refusal_reasons(disk, adoption.plan_adoption(disk, IPS[0]), IPS[0], survey, confirmed)


@pytest.mark.parametrize(
    ("survey", "confirmed", "reason"),
    [
        (survey_of(silent=IPS), (), "--yes-lose 10.0.0.2"),
        (survey_of(silent=IPS), ALL[:1], "--yes-lose 10.0.0.3"),
        (survey_of(report(IPS[0], value(3, 3))), ALL, "stop it first"),
        (survey_of(report(IPS[1], value(3, 3))), ALL, "a quorum of list 0 can still be had"),
        (survey_of(report(IPS[1], value(4, 4), "new")), ALL, "adopt there"),
        (survey_of(report(IPS[1], UNKNOWN_VALUE, "new", value(4, 4), False)), ALL, "adopt there"),
    ],
)
def test_an_adoption_is_refused(survey: Survey, confirmed: tuple[str, ...], reason: str) -> None:
    found = refusals_for(survey, *confirmed)
    assert found and any(reason in one for one in found)


def test_an_adoption_is_allowed_once_each_lost_machine_is_named() -> None:
    assert refusals_for(survey_of(silent=IPS), *ALL) == []
    wiped = survey_of(report(IPS[1], UNKNOWN_VALUE, "new", holds=False), silent=IPS[2:])
    assert refusals_for(wiped, IPS[2]) == []


def test_a_decided_version_that_is_not_on_this_disk_must_be_named() -> None:
    folder = write_store(MemoryDisk(), value(2, 2), value(3, 3), (2,))
    found = refusals_for(survey_of(silent=IPS), *ALL, folder=folder)
    assert len(found) == 1 and "--yes-lose r3" in found[0]
    assert refusals_for(survey_of(silent=IPS), *ALL, "r3", folder=folder) == []
    assert adoption.plan_adoption(inspect_folder(folder), IPS[0]).base == value(2, 2)
    elsewhere = survey_of(report(IPS[1], value(4, 4), "new", UNKNOWN_VALUE, False), silent=IPS[2:])
    found = refusals_for(elsewhere, IPS[2])
    assert len(found) == 1 and "--yes-lose r4" in found[0]


def test_an_empty_or_damaged_disk_needs_the_confirmation_of_a_total_loss() -> None:
    folder = write_store(MemoryDisk(), *DISK)
    folder.write(FILE_NAME, b"?")
    for one in (MemoryDisk(), folder):
        assert any(
            adoption.CONFIRM_EVERYTHING in reason
            for reason in refusals_for(survey_of(silent=IPS), *ALL, folder=one)
        )
        assert refusals_for(survey_of(silent=IPS), *ALL, adoption.CONFIRM_EVERYTHING, folder=one) == []


def test_an_adopted_list_has_a_higher_ballot_and_change_than_the_old_one() -> None:
    folder = write_store(MemoryDisk(), *DISK)
    planned = adoption.plan_adoption(inspect_folder(folder), IPS[0])
    adoption.adopt(folder, planned)
    state = AcceptorStateFile(folder).open()
    assert state is not None and state.disk_id != "first" and not verify(inspect_folder(folder))
    assert (
        state.decided.members.seats == (format_seat(IPS[0], state.disk_id),)
        and state.decided.version_id == version(3).version_id
    )
    assert state.acceptor_state.accepted > Ballot(900_000, "z") and state.decided.change > 900_000


def decide(known: Members, change: Change, kept: dict[str, AcceptorState], own: str) -> Value | None:
    """Run up to ten ballots of a proposer with the acceptors that answer; return the decided value or
    None.
    """
    count = kept[own].promised.count
    for _ in range(10):
        count += 1
        ballot = BallotAttempt(Ballot(count, own), known, change)
        for step in (BallotStep.PREPARING, BallotStep.ACCEPTING):
            asked: set[str] = set()
            while ballot.step is step and (waiting := sorted((ballot.targets() & set(kept)) - asked)):
                asked.add(waiting[0])
                if step is BallotStep.PREPARING:
                    good, kept[waiting[0]] = on_prepare(kept[waiting[0]], ballot.ballot)
                    ballot.on_prepare_reply(waiting[0], good, kept[waiting[0]])
                else:
                    assert ballot.value is not None
                    good, kept[waiting[0]] = on_accept(kept[waiting[0]], ballot.ballot, ballot.value)
                    ballot.on_accept_reply(waiting[0], good, kept[waiting[0]].promised)
        if ballot.step is BallotStep.DECIDED:
            return ballot.value
        count = max(count, ballot.preempted_by.count)
    return None


def test_a_value_accepted_by_an_old_member_is_not_revived() -> None:
    """A machine with a high ballot of the old list on its disk returns as a member and follows the new
    list.
    """
    planned = adoption.plan_adoption(inspect_folder(write_store(MemoryDisk(), *DISK)), IPS[0])
    own, late = planned.state.decided.members.seats[0], format_seat(IPS[2], "first")
    old = Ballot(200, late)
    kept = {
        own: planned.state.acceptor_state,
        "10.0.0.2/new": AcceptorState(NO_BALLOT, NO_BALLOT, UNKNOWN_VALUE),
        late: AcceptorState(old, old, value(9, 9)),
    }
    now = planned.state.decided
    for seats in ([own, "10.0.0.2/new"], [own, "10.0.0.2/new", late]):
        for wanted in (now.members.enter_joint(seats), now.members.enter_joint(seats).leave_joint()):
            decided = decide(now.members, set_members(wanted), kept, own)
            assert decided is not None and decided.members == wanted
            now = decided
    for proposer in (late, own, "10.0.0.2/new"):
        decided = decide(now.members, unchanged, kept, proposer)
        assert decided is not None and decided.version_id == version(3).version_id
    decided = decide(now.members, put(version(4).version_id), kept, late)
    assert decided is not None and decided.version_id == version(4).version_id


# Commands


@pytest.fixture
def run(monkeypatch: pytest.MonkeyPatch, tmp_path: Path) -> Any:
    """Return a function that runs a command. SETTINGS and FOLDER stand for those of core machine 1."""
    folder = tmp_path / "data"
    folder.mkdir()
    write_store(DiskFolder(str(folder)), *DISK)
    settings = tmp_path / "settings.toml"
    settings.write_text(
        f'node_name = "c"\nrole = "store"\nip = "{IPS[0]}"\nzone = "z"\nport_range = [{PORT}, 7355]\n'
        f'seed_peers = ["10.0.0.1:80", "10.0.0.2:80"]\ndata_path = "{folder}"\n'
    )

    def go(*arguments: str, answer: Survey | None = None) -> Result:
        async def answers(addresses: Iterable[Address]) -> Survey:
            assert {ip_of(ip) for ip, _ in addresses} >= {"10.0.0.1", "10.0.0.2"}
            return answer or survey_of(silent=IPS)

        monkeypatch.setattr(survey, "survey", answers)
        command_line = [
            one.replace("SETTINGS", str(settings)).replace("FOLDER", str(folder)) for one in arguments
        ]
        return CliRunner().invoke(main, ["store", *command_line], catch_exceptions=False)

    return go


LIVE = survey_of(
    report(IPS[0], value(3, 3)),
    report(IPS[1], value(3, 3)),
    report("10.0.0.4", value(2, 2), "x"),
    silent=IPS[2:],
)


def test_status_and_members(run: Any) -> None:
    for command in ("status", "members"):
        shown = run(command, "--settings", "SETTINGS", answer=LIVE)
        assert shown.exit_code == 0 and "it bears the loss of 0 more" in shown.output
        assert "10.0.0.4/x" in shown.output and "learner" in shown.output
        assert run(command, "10.0.0.1:7340", "10.0.0.2:7340").exit_code == 2
        alone = survey_of(report(IPS[0], value(3, 3)), silent=IPS[1:])
        assert run(command, "--settings", "SETTINGS", answer=alone).exit_code == 1
    output = json.loads(run("status", "--settings", "SETTINGS", "--json", answer=LIVE).output)
    assert (output["change"], output["generation"], output["quorum"], output["bears"]) == (3, "r3", True, 0)
    assert [store["counts"] for store in output["stores"]] == ["member", "member", "learner"]
    output = json.loads(run("members", "--settings", "SETTINGS", "--json", answer=LIVE).output)
    assert [one["answers"] for one in output["seats"]] == [True, True, False, True]


def test_no_store_and_invalid_addresses_are_usage_errors(run: Any) -> None:
    assert run("status").exit_code == 2 and "--settings: wanted" in run("status").output
    assert "is no ip:port" in run("status", "10.0.0.1").output
    assert run("history", "/nowhere-at-all").exit_code == 2


def test_history_verify_and_export(run: Any, tmp_path: Path) -> None:
    assert "decided: change 3, r3, list 0" in run("history", "FOLDER").output
    output = json.loads(run("history", "FOLDER", "--json").output)
    assert [one["stands"] for one in output["versions"]] == ["decided", "kept"]
    assert output["kept"]["disk"] == "first"
    assert run("verify", "FOLDER").exit_code == 0
    assert run("export", "FOLDER").stdout_bytes == version(3).body
    out = tmp_path / "out.json"
    written = run("export", "FOLDER", "--generation", "r2", "--to", str(out), "--json")
    assert json.loads(written.output)["bytes"] == len(version(2).body)
    assert out.read_bytes() == version(2).body
    assert run("export", "FOLDER", "--generation", "r9").exit_code == 1
    assert run("export", "FOLDER", "--json").exit_code == 2
    (tmp_path / "data" / FILE_NAME).write_bytes(b"?")
    assert run("verify", "FOLDER").exit_code == 1
    assert not json.loads(run("verify", "FOLDER", "--json").output)["good"]


def test_adopt_from_the_command_line(run: Any, tmp_path: Path) -> None:
    before = (tmp_path / "data" / FILE_NAME).read_bytes()
    assert run("adopt", "--settings", "SETTINGS").exit_code == 1
    names = ("--yes-lose", "10.0.0.2", "--yes-lose", "10.0.0.3")
    assert run("adopt", "--settings", "SETTINGS", *names, answer=LIVE).exit_code == 1
    dry = run("adopt", "--settings", "SETTINGS", *names, "--dry-run")
    assert dry.exit_code == 0 and "would be" in dry.output
    assert (tmp_path / "data" / FILE_NAME).read_bytes() == before
    done = run("adopt", "--settings", "SETTINGS", *names, "--json")
    assert done.exit_code == 0
    assert json.loads(done.output)["gives_up"] == ["10.0.0.2", "10.0.0.3"]
    assert run("verify", "FOLDER").exit_code == 0
    output = json.loads(run("history", "FOLDER", "--json").output)
    assert len(output["kept"]["decided"]["seats"]) == 1 and output["kept"]["decided"]["generation"] == "r3"


def test_the_former_name_almanac_is_a_deprecated_alias_with_a_warning(tmp_path: Path) -> None:
    write_store(DiskFolder(str(tmp_path)), *DISK)
    for command in ("history", "verify", "export"):
        renamed = CliRunner().invoke(main, ["store", command, str(tmp_path)])
        former = CliRunner().invoke(main, ["almanac", command, str(tmp_path)])
        assert former.exit_code == renamed.exit_code == 0
        assert former.stdout == renamed.stdout and former.stdout
        assert "DeprecationWarning" in former.stderr and "'almanac' is deprecated" in former.stderr
        assert "deprecated" not in renamed.stderr
    listed = CliRunner().invoke(main, ["--help"]).output
    assert "almanac" not in listed and "store" in listed


def test_every_command_in_the_documentation_parses() -> None:
    pages = Path(__file__).parents[2] / "docs" / "operate"
    text = "\n".join((pages / name).read_text("utf-8") for name in ("control.md", "control-runbook.md"))
    lines = [line.strip() for line in text.splitlines() if line.strip().startswith("irisdeal ")]
    assert len(lines) > 10
    for line in lines:
        program, group, command, *arguments = shlex.split(line)
        assert (program, group) == ("irisdeal", "store"), line
        found = store.commands[command]
        # Raises UsageError if the command does not parse.
        found.make_parser(click.Context(found)).parse_args(arguments)
