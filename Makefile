# The two commands of the README; the scripts that they call do the work.

.PHONY: demo test

.venv/built-from.txt: requirements.txt
	rm -rf .venv
	python3 -m venv .venv
	.venv/bin/pip -q install -r requirements.txt
	cp requirements.txt $@

.venv-dev/built-from.txt: requirements.txt requirements-parts.txt requirements-dev.txt
	rm -rf .venv-dev
	python3 -m venv .venv-dev
	.venv-dev/bin/pip -q install -r requirements-dev.txt
	cat requirements.txt requirements-parts.txt requirements-dev.txt > $@

demo: .venv/built-from.txt
	.venv/bin/python example/demo.py

test: .venv-dev/built-from.txt
	.venv-dev/bin/ruff format --check cloverhinge tests example benchmarks
	.venv-dev/bin/ruff check cloverhinge tests example benchmarks
	.venv-dev/bin/mypy
	.venv-dev/bin/lint-imports --no-cache
	.venv-dev/bin/python -m tests.known_red
	.venv-dev/bin/python -m pytest -m "not herd and not soak"
	.venv-dev/bin/python -m pytest -m soak -n 3
	.venv-dev/bin/python -m pytest -m herd -n 0
