# build: the environment that `run` uses; the rest works in any environment with '.[test]' installed.

CONFIG ?= examples/config.json

.PHONY: build setup reminder test lint run toy sites

build:
	cmp -s requirements.txt .venv/built || (rm -rf .venv && python3 -m venv .venv \
		&& .venv/bin/pip -q install -r requirements.txt && cp requirements.txt .venv/built)

setup: build
	.venv/bin/pip -q install -e .

reminder:
	.venv/bin/python examples/reminder.py

test:
	pytest

lint:
	ruff check . && mypy

run: build
	GW_CONFIG=$(CONFIG) .venv/bin/python -m rushsaddle

toy:
	python3 examples/toy_server.py

# The standing test on the sites of our own wants the kit's names and wire beside them; they are not ours to keep.
KIT ?= ../given/kit
SITE_FILES = real.json wire.json unlock.txt

sites:
	cd $(KIT)/more/mass/other && cp -f $(SITE_FILES) $(CURDIR)/deploy/sites/
	cd deploy/sites && chmod u+w $(SITE_FILES)
