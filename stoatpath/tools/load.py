"""Runs a load plan from a file against a local site."""

import asyncio
import logging
import sys

from absl import app, flags

from stoatpath.billing.ledgers import read_ledger
from stoatpath.measure.load_plans import LoadPlan
from stoatpath.measure.load_reports import check_guarantees, write_json
from stoatpath.measure.load_runs import LoadRun
from stoatpath.outcomes import is_failure
from stoatpath.services.tables import Table
from stoatpath.standins.sites import Site
from stoatpath.tools.demonstrations import Demonstration

FLAGS = flags.FLAGS
EXIT_OK = 0
EXIT_GUARANTEE_BROKEN = 1
EXIT_BAD_PLAN = 2
MAX_VIOLATIONS_SHOWN = 5

flags.DEFINE_string("plan", "samples/load/mixed.json5", "The plan of the load.")
flags.DEFINE_string("json", "", "Where the result goes as JSON.")


async def run_load(plan):
    """Run a plan; return the result and the checks of the guarantees."""
    site = Site()
    await site.start()
    try:
        await Demonstration(site).submit_samples()
        result = await LoadRun(site, plan).run()
        table = Table.from_url(site.settings("check", "zone-a").table_url)
        ledger = await read_ledger(table)
        await table.close()
        if is_failure(ledger):
            raise RuntimeError(ledger.detail)
        return result, check_guarantees(result, site, ledger)
    finally:
        await site.stop()


def main(argv):
    """Run the plan, print the results; return the exit code."""
    logging.getLogger("stoatpath").setLevel(logging.CRITICAL)
    try:
        plan = LoadPlan.from_file(FLAGS.plan)
    except (OSError, KeyError, ValueError) as error:
        print(f"{FLAGS.plan}: {error}", file=sys.stderr)
        return EXIT_BAD_PLAN
    print(f"{plan.rate_per_s} requests a second for {plan.seconds} s ...", flush=True)
    result, checks = asyncio.run(run_load(plan))
    result.print_table()
    attempts_per_request = result.attempts / max(1, len(result.replies))
    print(f"\n{result.attempts} attempts, {attempts_per_request:.3f} a request")
    if FLAGS.json:
        write_json(result, checks, FLAGS.json)
    return _print_checks(checks)


def _print_checks(checks):
    code = EXIT_OK
    for check in checks:
        print(f"{'BROKEN' if check.broken else 'kept':<8}{check.guarantee}")
        for each in check.broken[:MAX_VIOLATIONS_SHOWN]:
            print(f"        {each}")
        if check.broken:
            code = EXIT_GUARANTEE_BROKEN
    return code


def run():
    """Entry point of the program."""
    app.run(main)


if __name__ == "__main__":
    run()
