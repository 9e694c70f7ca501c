# Two commands from a fresh clone: `make demo` and `make test`.
PYTHON ?= $(shell command -v python3.11 || command -v python3)
VENV := .venv
STAMP := $(VENV)/installed

.PHONY: demo test check clean

$(STAMP): pyproject.toml requirements.txt
	@$(PYTHON) -c 'import sys; sys.exit(sys.version_info < (3, 11))' || \
	    { echo "Python 3.11 or newer is needed: make PYTHON=/path/to/python3.11 demo" >&2; exit 2; }
	$(PYTHON) -m venv $(VENV)
	$(VENV)/bin/python -m pip install --quiet --disable-pip-version-check -e '.[dev]'
	@touch $(STAMP)

demo: $(STAMP)
	$(VENV)/bin/coveflow lab demo

test: $(STAMP)
	$(VENV)/bin/ruff format --check .
	$(VENV)/bin/ruff check .
	$(VENV)/bin/lint-imports
	$(VENV)/bin/python -m pytest -q -n auto --dist loadgroup

clean:
	rm -rf $(VENV) target build *.egg-info
