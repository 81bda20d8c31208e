# `make demo` and `make test` each create the environment they need; the only requirement is Python 3.11 or later.
PYTHON ?= python3

.PHONY: demo test bench capacity clean

demo: .venv-tool/installed.txt
	.venv-tool/bin/python -m irisdeal.cli.main demo $(ARGS)

test: .venv-dev/installed.txt
	.venv-dev/bin/ruff check .
	.venv-dev/bin/ruff format --check -q .
	.venv-dev/bin/ruff check --config ruff-strict.toml irisdeal
	.venv-dev/bin/mypy
	.venv-dev/bin/lint-imports --no-cache
	.venv-dev/bin/behave tests/features -q --no-capture --logging-level ERROR --format progress
	.venv-dev/bin/python -m pytest

bench: .venv-dev/installed.txt
	.venv-dev/bin/python -m benchmarks.door_cost $(ARGS)

# Measures each role's cost at several sizes in under 10 minutes, then writes the tables of docs/CAPACITY.md.
capacity: .venv-dev/installed.txt
	.venv-dev/bin/python -m benchmarks.capacity run $(ARGS)
	.venv-dev/bin/python -m benchmarks.capacity page --write

.venv-tool/installed.txt: requirements.txt requirements-tool.txt
	test -x .venv-tool/bin/python || $(PYTHON) -m venv .venv-tool
	.venv-tool/bin/pip -q install -r requirements.txt -r requirements-tool.txt
	cat requirements.txt requirements-tool.txt > $@

.venv-dev/installed.txt: requirements.txt requirements-tool.txt requirements-system.txt requirements-dev.txt
	test -x .venv-dev/bin/python || $(PYTHON) -m venv .venv-dev
	.venv-dev/bin/pip -q install -r requirements.txt -r requirements-tool.txt -r requirements-system.txt -r requirements-dev.txt
	cat requirements.txt requirements-tool.txt requirements-system.txt requirements-dev.txt > $@

clean:
	rm -rf .venv .venv-tool .venv-dev build dist
