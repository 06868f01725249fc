"""Report how fast the service-level objectives' budgets burn.

Usage:
  dahliashunt-report [--entry=URL]... [--key=KEY] [--output=FORM]
                     [--html=FILE]
  dahliashunt-report -h | --help

Options:
  --entry=URL    An entry; give all, their counts are added up.
  --key=KEY      Operator key; DAHLIASHUNT_KEY in the environment
                 keeps it out of the list of processes.
  --output=FORM  text or json [default: text].
  --html=FILE    Write an HTML page with plots too.

Exit codes: 0 all entries read, 1 some entry was not read, 2 wrong use.
"""

import json
import os
import pathlib
import sys

from docopt import docopt

from dahliashunt.adapters.clock import SystemClock
from dahliashunt.report.fetch import fetch
from dahliashunt.report.fetch import NotRead
from dahliashunt.report.merge import merge
from dahliashunt.report.merge import UnreadableBurn
from dahliashunt.report.page import html_page
from dahliashunt.report.page import text_page

__all__ = ["main"]


def main(argv: list[str] | None = None) -> int:
    """Run the program and return its exit code."""
    args = docopt(__doc__, argv)
    if not args["--entry"] or args["--output"] not in ("text", "json"):
        print(
            "dahliashunt-report: give --entry, and --output text or json",
            file=sys.stderr,
        )
        return 2
    key = args["--key"] or os.environ.get("DAHLIASHUNT_KEY", "")
    read, not_read = _read(args["--entry"], key)
    try:
        report = merge(read, SystemClock().wall_ms())
    except UnreadableBurn as error:
        print(f"dahliashunt-report: {error}", file=sys.stderr)
        return 1
    report["not_read"] = not_read
    _show(report, args)
    return 1 if not_read else 0


def _read(urls, key):
    """Return the answers, and by URL why there is none."""
    answers, why_by_url = [], {}
    for url in urls:
        try:
            answers.append(fetch(url, key))
        except NotRead as error:
            why_by_url[url] = str(error)
    return answers, why_by_url


def _show(report, args):
    if args["--output"] == "json":
        print(json.dumps(report, indent=1))
    else:
        print(text_page(report))
    if args["--html"]:
        pathlib.Path(args["--html"]).write_text(html_page(report))


if __name__ == "__main__":
    sys.exit(main())
