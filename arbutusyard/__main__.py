"""Start the command line with the standard library made cooperative first."""

from gevent import monkey

monkey.patch_all()

import sys


def main() -> None:
    """Run the command line."""
    from arbutusyard.cli.main import run

    sys.exit(run())


if __name__ == "__main__":
    main()
