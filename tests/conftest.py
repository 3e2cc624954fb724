"""For `python -m tests.guards`: the guard that is taken out is so in this process too."""

from tests import guards

guards.out()
