"""Tests of reading descriptions: accepted ones, and rejected ones with file, pointer and reason. No
network.
"""

from __future__ import annotations

import json
import os
import random
import subprocess
import sys
from pathlib import Path
from typing import Any

import pytest

from irisdeal.front_door.routes.model import Repeat, Source, Units
from irisdeal.front_door.sources.openapi import Description, DescriptionError, compact_lines, read
from irisdeal.front_door.sources.yamljson import MalformedInputError, load_json, load_yaml

ROOT = Path(__file__).parents[2]
HEAD = "openapi: 3.1.0\ninfo: {title: t, version: '1'}\n"


def read_text(folder: Path, text: str, name: str = "api.yaml") -> Description:
    path = folder / name
    path.write_text(text)
    return read(path)


def keys(description: Description) -> list[tuple[str, str]]:
    return [(route.method, route.template) for route in description.routes]


def test_base_paths_parameters_and_inherited_extensions_make_the_routes(tmp_path: Path) -> None:
    description = read_text(
        tmp_path,
        HEAD
        + """
servers: [{url: "https://refund.example/{v}", variables: {v: {default: v1}}}, {url: /v2/}]
x-irisdeal: {class: all, aim_ms: 600, customer: {query: store}}
paths:
  x-note: {get: 1}
  /check/{receipt}:
    parameters: [{$ref: '#/components/parameters/receipt'}]
    x-irisdeal: {class: look, plan: {path: receipt}}
    get: {operationId: check, deprecated: true}
    head: {}
  /claim:
    servers: [{url: /}]
    post:
      x-irisdeal:
        units: {body: /items, default: 2, cap: 4}
        repeat: {keyed: {header: X-Claim, group: all, window_ms: 2500}}
        deadline_ms: 5000
        worth: 2
        late_worth: 0.2
components: {parameters: {receipt: {in: path, name: receipt}}}
""",
    ).checked()
    assert keys(description) == [
        ("GET", "/v1/check/{receipt}"),
        ("GET", "/v2/check/{receipt}"),
        ("HEAD", "/v1/check/{receipt}"),
        ("HEAD", "/v2/check/{receipt}"),
        ("POST", "/claim"),
    ]
    check, claim = description.routes[0], description.routes[4]
    assert (check.rule.name, check.rule.repeat, check.rule.aim, check.operation, check.deprecated) == (
        "look",
        Repeat.SAFE,
        600_000,
        "check",
        True,
    )
    assert (check.customer, check.plan) == (Source("query", "store"), Source("path", "receipt"))
    assert claim.units == Units(1.0, "body", "/items", 2.0, 4.0)
    assert (claim.rule.repeat, claim.rule.key_header, claim.rule.group, claim.rule.window) == (
        Repeat.KEYED,
        "x-claim",
        "all",
        2_500_000,
    )
    assert (claim.rule.worth, claim.rule.late_worth, claim.rule.deadline) == (2.0, 0.2, 5_000_000)
    assert claim.pointer == "#/paths/~1claim/post" and description.problems == []


def test_by_default_only_get_and_head_are_safe(tmp_path: Path) -> None:
    operations = "".join(
        f"    {m}: {{}}\n" for m in ("get", "head", "put", "post", "patch", "delete", "options", "trace")
    )
    description = read_text(tmp_path, HEAD + "paths:\n  /a:\n" + operations).checked()
    assert [r.method for r in description.routes if r.rule.repeat is Repeat.SAFE] == ["GET", "HEAD"]
    assert all(r.rule.repeat is Repeat.UNSAFE for r in description.routes[2:])
    assert {r.units for r in description.routes} == {Units()}


def test_references_may_lead_to_files_in_the_folder(tmp_path: Path) -> None:
    (tmp_path / "parts").mkdir()
    (tmp_path / "parts" / "item.json").write_text(
        json.dumps({"x": {"get": {"parameters": [{"$ref": "../more.yaml#/params/one~1two"}]}}})
    )
    (tmp_path / "more.yaml").write_text("params: {one/two: {in: path, name: id}}\n")
    description = read_text(tmp_path, HEAD + "paths: {'/a/{id}': {$ref: 'parts/item.json#/x'}}\n").checked()
    assert keys(description) == [("GET", "/a/{id}")] and description.problems == []
    assert [Path(f).name for f in description.files] == ["api.yaml", "item.json", "more.yaml"]


@pytest.mark.parametrize(
    ("ref", "expected"),
    [
        ("#/nowhere", "'#/nowhere' cannot be resolved"),
        ("#/paths/~1a", "is circular"),
        ("#anchor", "wanted a JSON pointer behind #"),
        ("https://example.org/x.yaml", "leads away from the description"),
        ("//example.org/x.yaml", "leads away from the description"),
        ("file:///etc/passwd", "leads away from the description"),
        ("/etc/passwd", "leads out of the description's folder"),
        ("../secret.yaml", "leads out of the description's folder"),
        ("a/../../secret.yaml", "leads out of the description's folder"),
        ("link.yaml", "leads out of the description's folder"),
        ("none.yaml", "No such file"),
        ("%2e%2e/secret.yaml", "leads out of the description's folder"),
        ("circle.yaml", "is circular"),
    ],
)
def test_other_references_are_rejected(tmp_path: Path, ref: str, expected: str) -> None:
    folder = tmp_path / "inside"
    folder.mkdir()
    (tmp_path / "secret.yaml").write_text("get: {}\n")
    (folder / "link.yaml").symlink_to(tmp_path / "secret.yaml")
    (folder / "circle.yaml").write_text("$ref: 'api.yaml#/paths/~1a'\n")
    description = read_text(folder, HEAD + f"paths: {{/a: {{$ref: {json.dumps(ref)}}}}}\n")
    assert len(description.errors) == 1 and expected in description.errors[0].text, description.errors
    assert description.errors[0].pointer.startswith("#/paths/~1a")
    with pytest.raises(DescriptionError, match=r"api\.yaml: #/paths/~1a"):
        description.checked()


@pytest.mark.parametrize(
    ("text", "pointer", "expected"),
    [
        ("", "#", "empty"),
        ("[]", "#", "wanted an OpenAPI description, not a list"),
        ("openapi: 2.0\n", "#/openapi", "openapi is 2.0: wanted a text, 3.0.x or 3.1.x"),
        ("swagger: '2.0'\n", "#", "openapi is None"),
        ("openapi: 3.0.0\n", "#", "paths is None: wanted a mapping of paths"),
        ("paths: []\n", "#/paths", "paths is a list"),
        ("paths: {a: {get: {}}}\n", "#/paths/a", "wanted a path that begins with /"),
        ("paths: {'/{a}{b}': {get: {}}}\n", "#/paths/~1{a}{b}", "no literal between them"),
        ("paths: {/a: []}\n", "#/paths/~1a", "wanted a path item, not a list"),
        ("paths: {/a: {get: 3}}\n", "#/paths/~1a/get", "wanted an operation, not 3"),
        ("paths: {/a: {get: {x-irisdeal: 3}}}\n", "#/paths/~1a/get/x-irisdeal", "wanted a mapping, not 3"),
        ("paths: {/a: {get: {x-irisdeal: {unit: 3}}}}\n", "#/paths/~1a/get/x-irisdeal/unit", "no such key"),
        (
            "paths: {/a: {get: {x-irisdeal: {units: 0}}}}\n",
            "#/paths/~1a/get/x-irisdeal/units",
            "wanted units",
        ),
        (
            "paths: {/a: {get: {x-irisdeal: {units: .nan}}}}\n",
            "#/paths/~1a/get/x-irisdeal/units",
            "a number, or",
        ),
        (
            "paths: {/a: {get: {x-irisdeal: {units: {body: n}}}}}\n",
            "#/paths/~1a/get/x-irisdeal/units/body",
            "a JSON pointer begins with /",
        ),
        (
            "paths: {/a: {get: {x-irisdeal: {units: {query: n, cap: 2, default: 3}}}}}\n",
            "#/paths/~1a/get/x-irisdeal/units",
            "default is 3: wanted at most the cap, 2",
        ),
        (
            "paths: {/a: {get: {x-irisdeal: {repeat: often}}}}\n",
            "#/paths/~1a/get/x-irisdeal/repeat",
            "wanted sa",
        ),
        (
            "paths: {/a: {get: {x-irisdeal: {repeat: {keyed: {group: town}}}}}}\n",
            "#/paths/~1a/get/x-irisdeal/repeat/keyed/group",
            "wanted zone, cell or all",
        ),
        (
            "paths: {/a: {get: {x-irisdeal: {repeat: {keyed: {header: Connection}}}}}}\n",
            "#/paths/~1a/get/x-irisdeal/repeat/keyed/header",
            "a hop-by-hop header",
        ),
        (
            "paths: {/a: {get: {x-irisdeal: {aim_ms: 9000}}}}\n",
            "#/paths/~1a/get/x-irisdeal/aim_ms",
            "aim is 9000 ms: wanted at most the deadline, 5000 ms",
        ),
        (
            "paths: {/a: {get: {x-irisdeal: {aim_ms: 1e400}}}}\n",
            "#/paths/~1a/get/x-irisdeal/aim_ms",
            "number",
        ),
        (
            "paths: {/a: {get: {x-irisdeal: {customer: {path: x}}}}}\n",
            "#/paths/~1a/get/x-irisdeal/customer/path",
            "no parameter {x}",
        ),
        (
            "x-irisdeal: {allow: [everything]}\npaths: {/a: {get: {}}}\n",
            "#/x-irisdeal/allow",
            "wanted a list of weaken, remove",
        ),
        ("servers: [{url: '/{v}'}]\npaths: {/a: {get: {}}}\n", "#/servers/0", "a variable without a default"),
        ("servers: [{url: /a/../b}]\npaths: {/a: {get: {}}}\n", "#/servers/0", "dot segments"),
        ("servers: 3\npaths: {/a: {get: {}}}\n", "#/servers", "servers is 3: wanted a list"),
        (
            "paths: {'/a/{x}': {get: {}}, '/a/{y}': {get: {}}}\n",
            "#/paths/~1a~1{y}/get",
            "matches what GET /a/{x} matches",
        ),
        ("paths: {/a: {get: {}}, /a: {put: {}}}\n", "#", "line 3, column 24: duplicate key '/a'"),
        ("a: *b\n", "#", "alias *b has no anchor"),
        ("a: &a [*a]\n", "#", "refers to a value that contains it"),
        ("a: !!python/object:os.system x\n", "#", "tag"),
        ("a: !mine x\n", "#", "tag !mine: wanted plain values"),
        ("a: {<<: {b: 1}}\n", "#", "merge key"),
        ("a: b: c\n", "#", "line 3, column 5"),
        ("--- a\n--- b\n", "#", "more than one document"),
        ("? [a]\n: b\n", "#", "a key that is not a scalar"),
        ("a: " + "[" * 300 + "]" * 300 + "\n", "#", "nested over 200 deep"),
        ("a: \x00\n", "#", "not allowed"),
    ],
)
def test_problems_have_file_pointer_and_reason(
    tmp_path: Path,
    text: str,
    pointer: str,
    expected: str,
) -> None:
    is_complete = text[:1] in ("", "[") or text.startswith(("openapi", "swagger", "---"))
    description = read_text(tmp_path, text if is_complete else HEAD + text)
    assert description.errors, description
    problem = description.errors[0]
    assert problem.file.endswith("api.yaml") and problem.pointer == pointer and expected in problem.text, (
        problem
    )
    assert "\n" not in problem.line()


def test_a_missing_file_or_invalid_utf_8_is_a_problem(tmp_path: Path) -> None:
    assert "No such file" in read(tmp_path / "none.yaml").errors[0].line()
    (tmp_path / "odd.yaml").write_bytes(b"a: \xff")
    assert "not UTF-8 at byte 3" in read(tmp_path / "odd.yaml").errors[0].line()


def test_exponential_aliases_are_rejected_before_expansion(tmp_path: Path) -> None:
    text = "a: &a [x, x, x, x, x, x, x, x, x, x]\n"
    for previous, current in zip("abcdefgh", "bcdefghi", strict=True):
        text += f"{current}: &{current} [{', '.join([f'*{previous}'] * 10)}]\n"
    description = read_text(tmp_path, HEAD + text)
    assert "aliases expand to over 20000000 values" in description.errors[0].text
    many = "a: &a x\nb: [" + ", ".join(["*a"] * 10_001) + "]\n"
    assert "over 10000 aliases" in read_text(tmp_path, HEAD + many).errors[0].text


def test_yaml_follows_the_json_schema() -> None:
    value = load_yaml("a: no\nb: 2026-12-01\nc: 010\nd: 1e3\ne: ~\nf: true\n200: x\ng: '7'\nh: 0x1F\ni: -3\n")
    assert value == {
        "a": "no",
        "b": "2026-12-01",
        "c": "010",
        "d": 1000.0,
        "e": None,
        "f": True,
        "200": "x",
        "g": "7",
        "h": "0x1F",
        "i": -3,
    }


@pytest.mark.parametrize(
    ("text", "expected"),
    [
        ('{"a":1,"a":2}', "duplicate key 'a'"),
        ('{"a":NaN}', "NaN is not JSON"),
        ("{", "line 1, column 2"),
        ("[" * 100_000, "nested too deeply"),
        ('{"a":' + "9" * 5_000 + "}", "digits"),
    ],
)
def test_invalid_json_is_rejected(text: str, expected: str) -> None:
    with pytest.raises(MalformedInputError, match=expected):
        load_json(text)


def test_undeclared_parameters_overlaps_and_missing_paths_are_warnings(tmp_path: Path) -> None:
    description = read_text(tmp_path, HEAD + "paths: {'/{a}.pdf': {get: {}}, '/r{a}': {get: {}}}\n").checked()
    assert [
        any(w in p.text for w in ("is not declared", "can match the same text")) for p in description.problems
    ] == [True] * 3
    assert read_text(tmp_path, HEAD).problems[0].text.startswith("no paths")


def test_the_program_prints_the_routes_or_the_error(tmp_path: Path) -> None:
    path = tmp_path / "api.yaml"
    path.write_text(HEAD + "paths: {/a: {get: {}}}\n")
    command = [sys.executable, "-m", "irisdeal.front_door.sources.openapi", str(path)]
    done = subprocess.run(command, cwd=ROOT, capture_output=True, text=True, check=True)
    assert done.stdout.splitlines() == list(compact_lines(read(path)))
    path.write_text("openapi: 4\n")
    done = subprocess.run(command, cwd=ROOT, capture_output=True, text=True, check=False)
    assert done.returncode == 1 and "wanted a text, 3.0.x or 3.1.x" in json.loads(done.stdout)["error"]


# Fuzzing: any description is accepted or rejected, with one-line problems.

VALUES: list[Any] = [
    None,
    True,
    0,
    -1,
    1.5,
    1e308,
    10**30,
    "",
    "x",
    "/",
    "/a",
    "{",
    "}",
    "{x}",
    "/{x}",
    "/{}",
    "$ref",
    "#/paths",
    "#",
    "#/paths/~1a",
    "~",
    "../x",
    "http://x",
    "\x00",
    "é",
    "x" * 300,
    [],
    {},
    [1],
    {"a": 1},
    {"$ref": "#/paths"},
    {"$ref": 3},
    {"$ref": "#/"},
    "3.1.0",
    "3.0.3",
    "keyed",
    {"keyed": {}},
    {"query": "n"},
    {"body": "/n"},
]
BASE = json.loads(
    json.dumps(
        {
            "openapi": "3.1.0",
            "info": {"title": "t", "version": "1"},
            "servers": [{"url": "/v1"}],
            "x-irisdeal": {"aim_ms": 600, "allow": ["weaken"]},
            "paths": {
                "/check/{id}": {
                    "parameters": [{"in": "path", "name": "id"}],
                    "get": {
                        "operationId": "c",
                        "x-irisdeal": {"units": {"query": "n", "cap": 4}, "customer": {"path": "id"}},
                    },
                },
                "/claim": {
                    "post": {
                        "x-irisdeal": {
                            "repeat": {"keyed": {"group": "zone", "window_ms": 5000}},
                            "units": 2,
                            "class": "claim",
                        }
                    }
                },
            },
        }
    )
)


def mutated(rng: random.Random) -> Any:
    """Return a copy of the base with a few values replaced, dropped, nested or renamed."""
    description = json.loads(json.dumps(BASE))
    for _ in range(rng.randint(1, 4)):
        place: Any = description
        for _ in range(rng.randint(0, 7)):
            inner = list(place) if isinstance(place, dict) else list(range(len(place)))
            following = [k for k in inner if isinstance(place[k], dict | list) and place[k]]
            if not following:
                break
            place = place[rng.choice(following)]
        where = rng.choice(list(place) if isinstance(place, dict) else list(range(len(place))))
        what = rng.randrange(4)
        if what == 0:
            place[where] = json.loads(json.dumps(rng.choice(VALUES)))
        elif what == 1:
            del place[where]
        elif what == 2 and isinstance(place, dict):
            key = rng.choice(VALUES)
            place[key if isinstance(key, str) else "x-irisdeal"] = place.pop(where)
        else:
            place[where] = json.loads(json.dumps(description))
        if not description:
            break
    return description


def test_ten_thousand_mutated_descriptions_are_accepted_or_rejected_clearly(tmp_path: Path) -> None:
    rng, accepted, rejected = random.Random(20261201), 0, 0
    path = tmp_path / "api.json"
    for _ in range(9_000):
        text = json.dumps(mutated(rng))
        if rng.random() < 0.2:  # truncated, or with one character replaced
            at = rng.randrange(len(text))
            replacement = rng.choice('{}[]",:\x00&*') + text[at + 1 :]
            text = text[:at] + (replacement if rng.random() < 0.5 else "")
        path.write_text(text)
        accepted, rejected = count_outcome(read(path), accepted, rejected)
    yaml = tmp_path / "api.yaml"
    whole = (HEAD + "paths:\n  /a/{x}: &p\n    get: {x-irisdeal: {units: 2}}\n  /b: *p\n").encode()
    for _ in range(1_000):
        raw = bytearray(whole)
        for _ in range(rng.randint(1, 5)):
            raw[rng.randrange(len(raw))] = rng.choice(b"{}[]:&*!|>%@`'\"#-,? \t\n\x00\xffa0")
        yaml.write_bytes(bytes(raw))
        accepted, rejected = count_outcome(read(yaml), accepted, rejected)
    assert accepted + rejected == 10_000 and accepted > 500 and rejected > 5_000


def count_outcome(description: Description, accepted: int, rejected: int) -> tuple[int, int]:
    for problem in description.problems:
        line = problem.line()
        assert problem.file and problem.pointer.startswith("#") and problem.text and "\n" not in line
        assert "Traceback" not in line and len(line) < 2_000
    if not description.errors:
        return accepted + 1, rejected
    return accepted, rejected + 1


def test_a_description_of_13_mb_is_read(tmp_path: Path) -> None:
    """1,500 operations with large response schemas, which are not read."""
    schema = {
        "type": "object",
        "properties": {f"p{n}": {"type": "string", "description": "x" * 100} for n in range(60)},
    }
    paths = {
        f"/things/{n}/{{id}}": {
            "get": {
                "parameters": [{"in": "path", "name": "id"}],
                "responses": {"200": {"content": {"application/json": {"schema": schema}}}},
            }
        }
        for n in range(1_500)
    }
    path = tmp_path / "big.json"
    path.write_text(json.dumps({"openapi": "3.0.3", "info": {"title": "t", "version": "1"}, "paths": paths}))
    assert os.path.getsize(path) > 13_000_000
    description = read(path).checked()
    assert description.operations == len(description.routes) == 1_500


def routes(*arguments: str) -> subprocess.CompletedProcess[str]:
    command = [sys.executable, "-m", "irisdeal.cli.main", "routes", *arguments]
    return subprocess.run(command, cwd=ROOT, capture_output=True, text=True, check=False)


def test_the_routes_command_checks_shows_matches_and_compares(tmp_path: Path) -> None:
    old, new = tmp_path / "old.yaml", tmp_path / "new.yaml"
    old.write_text(HEAD + "paths: {'/a/{x}': {get: {}}, /b: {post: {}}}\n")
    new.write_text(HEAD + "paths: {'/a/{x}': {get: {}}, /b: {post: {x-irisdeal: {repeat: keyed}}}}\n")
    done = routes("check", str(old), "--json")
    output = json.loads(done.stdout)
    assert done.returncode == 0 and (output["paths"], output["operations"]) == (2, 2)
    assert [p["level"] for p in output["problems"]] == ["warning"]
    assert json.loads(routes("show", str(old), "--json").stdout)["routes"][1]["repeat"] == "unsafe"
    assert "/a/{x}" in routes("show", str(old)).stdout
    assert "x = 7/8" in routes("match", str(old), "GET", "/a/7%2F8?q").stdout
    for arguments, expected in ((("PUT", "/b"), "405"), (("GET", "/c"), "404"), (("GET", "/../b"), "400")):
        done = routes("match", str(old), *arguments)
        assert done.returncode == 1 and done.stdout.startswith(expected)
    done = routes("diff", str(old), str(new))
    assert done.returncode == 1 and "weaker: POST /b: unsafe -> keyed" in done.stdout
    assert routes("diff", str(new), str(old)).returncode == 0
    old.write_text(HEAD + "paths: {/a: {get: 3}}\n")
    done = routes("check", str(old))
    assert done.returncode == 1 and "#/paths/~1a/get: wanted an operation, not 3" in done.stdout
    assert routes("show", str(old)).returncode == 1
    done = routes("check", str(tmp_path / "none.yaml"))
    assert done.returncode == 2 and "no such file" in done.stderr


def test_the_example_under_deploy_is_valid() -> None:
    description = read(ROOT / "deploy" / "refund.openapi.yaml").checked()
    assert [(r.method, r.template, r.rule.repeat) for r in description.routes] == [
        ("GET", "/refund/check/{receipt}", Repeat.SAFE),
        ("POST", "/refund/claim", Repeat.KEYED),
        ("DELETE", "/refund/claim/{id}", Repeat.UNSAFE),
    ]
    named = json.loads((ROOT / "deploy" / "routes.json").read_text())["routes"]["file"]
    assert (ROOT / named).is_file()


def test_check_validates_the_schema_on_request(tmp_path: Path) -> None:
    path = tmp_path / "api.yaml"
    path.write_text(HEAD + "paths: {/a: {get: {responses: 3}}}\n")
    assert routes("check", str(path)).returncode == 0
    done = routes("check", str(path), "--schema")
    assert done.returncode == 1 and "#/paths/~1a/get/responses" in done.stdout
