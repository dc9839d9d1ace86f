"""Run one benchmark: ``python -m benches NAME [--seed N] [--json]``.

The last line of output is one JSON object whose keys contain the units.
"""

import argparse
import importlib
import json
import sys

NAMES = (
    "flows",
    "imbalance",
    "outage",
    "requests",
    "control",
    "decide",
    "restart",
    "capacity",
    "placing",
    "feed",
    "load",
    "heartbeats",
)


def main(argv: list[str]) -> int:
    """Run the named benchmark and print its figures."""
    parser = argparse.ArgumentParser(prog="scripts/bench")
    parser.add_argument("name", choices=NAMES)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--json", action="store_true")
    parser.add_argument("--report", metavar="DIR")
    args = parser.parse_args(argv)
    module_name = f"benches.bench_{args.name}"
    try:
        bench = importlib.import_module(module_name)
    except ModuleNotFoundError as exc:
        if exc.name != module_name:
            raise
        print(
            f"scripts/bench: {args.name} has no module {module_name}",
            file=sys.stderr,
        )
        return 2
    figures = bench.run(args.seed, args.json)
    figures_json = json.dumps(figures, sort_keys=True)
    if args.report:
        # Imported on demand because matplotlib is slow to import.
        from benches import report

        path = report.write(args.report, args.name, figures)
        print(f"report: {path}")
    print(figures_json)
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
