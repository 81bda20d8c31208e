# `make demo` and `make test` each create the environment they need; the only requirement is Python 3.11 or later.
PYTHON ?= python3
# An environment that another kind of machine made is made again.
PLATFORM := $(shell $(PYTHON) -c "import sysconfig; print(sysconfig.get_platform())")
TOOL_STAMP := .venv-tool/installed-$(PLATFORM).txt
DEV_STAMP := .venv-dev/installed-$(PLATFORM).txt

.PHONY: demo test bench capacity clean

demo: $(TOOL_STAMP)
	.venv-tool/bin/python -m irisdeal.cli.main demo $(ARGS)

test: $(DEV_STAMP)
	.venv-dev/bin/ruff check .
	.venv-dev/bin/ruff format --check -q .
	.venv-dev/bin/ruff check --config ruff-strict.toml irisdeal
	.venv-dev/bin/mypy
	.venv-dev/bin/lint-imports --no-cache
	.venv-dev/bin/behave tests/features -q --no-capture --logging-level ERROR --format progress
	.venv-dev/bin/python -m pytest

bench: $(DEV_STAMP)
	.venv-dev/bin/python -m benchmarks.door_cost $(ARGS)

# Measures each role's cost at several sizes in under 10 minutes, then writes the tables of docs/CAPACITY.md.
capacity: $(DEV_STAMP)
	.venv-dev/bin/python -m benchmarks.capacity run $(ARGS)
	.venv-dev/bin/python -m benchmarks.capacity page --write

$(TOOL_STAMP): requirements.txt requirements-tool.txt
	test -f $@ || rm -rf .venv-tool
	test -x .venv-tool/bin/python || $(PYTHON) -m venv .venv-tool
	.venv-tool/bin/pip -q install -r requirements.txt -r requirements-tool.txt
	cat requirements.txt requirements-tool.txt > $@

$(DEV_STAMP): requirements.txt requirements-tool.txt requirements-system.txt requirements-dev.txt
	test -f $@ || rm -rf .venv-dev
	test -x .venv-dev/bin/python || $(PYTHON) -m venv .venv-dev
	.venv-dev/bin/pip -q install -r requirements.txt -r requirements-tool.txt -r requirements-system.txt -r requirements-dev.txt
	cat requirements.txt requirements-tool.txt requirements-system.txt requirements-dev.txt > $@

clean:
	rm -rf .venv .venv-tool .venv-dev build dist
