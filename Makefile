# Build, test, lint and run; CI runs `.ci/run`.
PYTHON = .venv/bin/python

.PHONY: build test lint format run

build: .venv/installed

.venv/installed: requirements.txt
	test -d .venv || python3 -m venv .venv
	.venv/bin/pip -q install --disable-pip-version-check -r requirements.txt
	touch $@

test:
	bash .ci/run

lint: build
	.venv/bin/ruff check alderspool lynxlift tests
	.venv/bin/ruff format --check alderspool lynxlift tests

format: build
	.venv/bin/ruff check --fix alderspool lynxlift tests
	.venv/bin/ruff format alderspool lynxlift tests

run: build
	exec $(PYTHON) -m alderspool serve
