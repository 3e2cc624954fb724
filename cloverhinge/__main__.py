"""`python -m cloverhinge`."""

import sys

from cloverhinge.cli import main

if __name__ == "__main__":
    sys.exit(main())
