VENV ?= .venv
PYTHON ?= $(VENV)/bin/python
EXPERIMENT ?= all
SEED ?= 1
PLAN ?= samples/load/mixed.json5

.PHONY: install run serve test lint format measure load capacity

$(VENV)/.installed: requirements.lock
	@echo "Installing the locked packages into $(VENV) ..."
	@test -x $(VENV)/bin/python || python3 -m venv $(VENV)
	@$(VENV)/bin/python -m pip install --quiet --requirement requirements.lock
	@touch $@

install: $(VENV)/.installed

run: install
	@$(PYTHON) -m stoatpath.tools.site

serve: install
	@$(PYTHON) -m stoatpath.tools.site --serve

test: install
	@$(PYTHON) scripts/run_features.py

lint: install
	$(PYTHON) -m black --check --quiet stoatpath scripts
	$(PYTHON) -m isort --check --quiet stoatpath scripts
	$(PYTHON) -m flake8 stoatpath scripts

format: install
	$(PYTHON) -m isort --quiet stoatpath scripts
	$(PYTHON) -m black --quiet stoatpath scripts

measure: install
	@$(PYTHON) -m stoatpath.tools.measure --experiment=$(EXPERIMENT) --seed=$(SEED)

capacity: install
	@$(PYTHON) -m stoatpath.tools.capacity

load: install
	@$(PYTHON) -m stoatpath.tools.load --plan=$(PLAN)
