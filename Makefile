# Build, test, lint and run. CI runs `make test` by way of .ci/run.
PYTHON = .venv/bin/python
CODE = alderspool benchmarks tests

.PHONY: build demo test lint format run

build: .venv/installed

.venv/installed: requirements.txt requirements-lab.txt requirements-dev.txt
	test -d .venv || python3 -m venv .venv
	.venv/bin/pip -q install --disable-pip-version-check -r requirements.txt -r requirements-lab.txt -r requirements-dev.txt
	touch $@

# The tests of KNOWN-RED.txt, each with an open issue, are printed and not run.
test: lint
	@cat KNOWN-RED.txt
	$(PYTHON) -m pytest -q $$(sed -n 's/^test: /--deselect=/p' KNOWN-RED.txt)

lint: build
	.venv/bin/ruff check $(CODE)
	.venv/bin/ruff format --check $(CODE)
	.venv/bin/mypy
	.venv/bin/lint-imports --no-cache

format: build
	.venv/bin/ruff check --fix $(CODE)
	.venv/bin/ruff format $(CODE)

demo: build
	$(PYTHON) -m alderspool lab demo

run: build
	exec $(PYTHON) -m alderspool serve
