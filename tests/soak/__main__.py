"""Run the soak test over many seeds, a few at a time."""

from gevent import monkey

monkey.patch_all()

import argparse
import shutil
import subprocess
import sys
from pathlib import Path

from gevent.pool import Pool

from tests.soak.builds import RollingUpdate
from tests.soak.world import soak


def run_one(seed, args):
    """Run a seed in this process; keep its logs if a guarantee was violated.

    Return the exit code: 1 after a violation, else 0.
    """
    update = None
    if args.old_build:
        update = RollingUpdate(args.old_build, args.roll_back)
    folder = args.logs / str(seed) if args.logs else None
    if folder:
        folder.mkdir(parents=True, exist_ok=True)
    ledger, folder = soak(seed, args.seconds, args.pause, folder=folder, update=update)
    print(f"seed {seed}: {ledger.log_lines[-1]}; {len(ledger.violations)} violations")
    for text in ledger.violations:
        print(f"seed {seed}: {text}")
    if ledger.violations:
        print(f"seed {seed}: logs in {folder}")
        return 1
    if not args.logs:
        shutil.rmtree(folder)
    return 0


def run_many(args):
    """Run each seed in a process of its own; return how many failed."""

    def run(seed):
        command = [sys.executable, "-m", "tests.soak", "--seed", str(seed)]
        command += ["--seconds", str(args.seconds), "--pause", str(args.pause)]
        if args.logs:
            command += ["--logs", str(args.logs)]
        if args.old_build:
            command += ["--old-build", str(args.old_build)]
            command += ["--roll-back"] * args.roll_back
        result = subprocess.run(command, capture_output=True, text=True)
        print(result.stdout + result.stderr, end="", flush=True)
        return result.returncode != 0

    seeds = range(args.first, args.first + args.seeds)
    return sum(Pool(args.jobs).imap_unordered(run, seeds))


def main():
    """Run one seed or a range of seeds, as the command line asks."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int)
    parser.add_argument("--first", type=int, default=1)
    parser.add_argument("--seeds", type=int, default=50)
    parser.add_argument("--jobs", type=int, default=2)
    parser.add_argument("--seconds", type=float, default=20.0)
    parser.add_argument("--pause", type=float, default=1.0)
    parser.add_argument("--logs", type=Path, help="keep all logs in this folder")
    parser.add_argument(
        "--old-build",
        type=lambda text: Path(text).resolve(),
        help="begin with nodes of the checkout in this folder, and replace them one by "
        "one by nodes of this build",
    )
    parser.add_argument(
        "--roll-back",
        action="store_true",
        help="return to the old build, then replace the nodes once more",
    )
    args = parser.parse_args()
    if args.seed is not None:
        sys.exit(run_one(args.seed, args))
    failed = run_many(args)
    print(f"{args.seeds} seeds, {failed} failed")
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    main()
