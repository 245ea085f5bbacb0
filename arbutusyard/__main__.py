"""Provide the entry point of the command line.

Patches the standard library for gevent before anything else is imported.
"""

from gevent import monkey

monkey.patch_all()

import sys


def main() -> None:
    """Run the command line."""
    from arbutusyard.cli.main import run

    sys.exit(run())


if __name__ == "__main__":
    main()
