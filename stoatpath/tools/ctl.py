"""The program `stoatpathctl`, with which operators manage a site."""

import asyncio
import json
import os
import ssl
import sys

from absl import app, flags

import stoatpath
from stoatpath.clock import Clock
from stoatpath.commands.clients import ControllerClient
from stoatpath.commands.messages import EXIT_CODES_HELP, EXIT_OK, EXIT_USAGE
from stoatpath.commands.operations import COMMANDS, Options
from stoatpath.commands.tables import GREEN, RED, colorize
from stoatpath.outcomes import is_failure
from stoatpath.platform.boot_files import BootFile
from stoatpath.platform.row_stores import RowStore

FLAGS = flags.FLAGS
KEY_VARIABLE = "STOATPATH_OPERATOR_KEY"
CONTROLLERS_VARIABLE = "STOATPATH_CONTROLLERS"
STORE_VARIABLE = "STOATPATH_STORE"

USAGE = f"""\
usage: stoatpathctl [FLAGS] COMMAND [ARGUMENT ...]

Commands:
  check FILE ...         check files against what is in force; accept nothing
  submit FILE ...        have files accepted, all together
  render NAME [FILE ...] print an organisation as its template makes it
  show [KIND [NAME]]     print the documents in force
  history                print who had what accepted when
  status                 print which member has which revision, and why one lags
  withdraw MODEL@VERSION withdraw a version from new work
  rollout halt|resume|retry NAME
                         stop, carry on, or lift a suspension and begin again
  explain REQUEST_ID [LOG ...]
                         print why a request was served as it was; from log files
                         of all instances where they are given
  store routes|backends|zones|rollouts [SERVICE]
                         print what the platform's store holds: the configuration
                         in force, the backend servers, roll-outs and who judged them

Flags:
  --store=IP:PORT        the platform's store (or {STORE_VARIABLE})
  --boot=FILE            settings file of a gateway that names the store
  --controllers=IP:PORT,...  controllers to ask (or {CONTROLLERS_VARIABLE})
  --key=NAME.SECRET      operator key (better: {KEY_VARIABLE})
  --authority=FILE       certificate authority of the controllers, for TLS
  --wait                 wait until in force at every member that is not dead
  --timeout_s=N          how long --wait waits (60)
  --accept_warnings      accept what leaves someone unserved
  --submission_id=ID --base_revision=N   repeat a submission that was unknown
  --replacement=VERSION  what becomes current when withdrawing the current one
  --limit=N              rows of history (20)
  --json --version --help

{EXIT_CODES_HELP}"""


def define_flags():
    """Define the flags of the program."""
    flags.DEFINE_list("controllers", None, "Addresses of controllers.")
    flags.DEFINE_string("key", None, "Operator key.")
    flags.DEFINE_string("authority", None, "Certificate authority, for TLS.")
    flags.DEFINE_string("store", None, "Address of the platform's store.")
    flags.DEFINE_string("boot", None, "Settings file that names the store.")
    flags.DEFINE_bool("wait", False, "Wait until in force everywhere.")
    flags.DEFINE_integer("timeout_s", 60, "How long to wait.")
    flags.DEFINE_bool("accept_warnings", False, "Accept warnings.")
    flags.DEFINE_string("submission_id", "", "Id of a submission to repeat.")
    flags.DEFINE_integer("base_revision", None, "Revision that was looked at.")
    flags.DEFINE_string("replacement", "", "Version that becomes current.")
    flags.DEFINE_integer("limit", 20, "Rows of history.")
    flags.DEFINE_bool("json", False, "Print JSON.")
    flags.DEFINE_bool("version", False, "Print the version.")


define_flags()


async def _run(name, arguments):
    tls = None
    if FLAGS.authority:
        tls = ssl.create_default_context(cafile=FLAGS.authority)
    addresses = FLAGS.controllers
    if addresses is None:
        addresses = os.environ.get(CONTROLLERS_VARIABLE, "").split(",")
    scheme = "https" if tls is not None else "http"
    urls = [f"{scheme}://{address}" for address in addresses if address]
    key = FLAGS.key or os.environ.get(KEY_VARIABLE, "")
    client = ControllerClient(urls, key, tls)
    store = _build_store()
    try:
        return await COMMANDS[name](client, arguments, _options(store))
    finally:
        await client.close()
        if store is not None:
            await store.close()


def _build_store():
    """Return a client of the platform's store, or None without an address."""
    address = FLAGS.store or os.environ.get(STORE_VARIABLE, "")
    if not address and FLAGS.boot:
        boot = BootFile.from_file(FLAGS.boot)
        if is_failure(boot):
            print(f"stoatpathctl: {boot.detail}", file=sys.stderr)
            sys.exit(EXIT_USAGE)
        address = boot.store_address
    return RowStore.from_address(address) if address else None


def _options(store):
    clock = Clock()
    return Options(
        clock,
        _print_progress,
        submission_id=FLAGS.submission_id,
        base_revision=FLAGS.base_revision,
        accept_warnings=FLAGS.accept_warnings,
        wait=FLAGS.wait,
        deadline_ms=clock.now_ms() + FLAGS.timeout_s * 1000,
        limit=FLAGS.limit,
        replacement=FLAGS.replacement,
        store=store,
    )


def _print_progress(line):
    print(line, file=sys.stderr, flush=True)


def main(argv):
    """Run one command; return the exit code."""
    if FLAGS.version:
        print(f"stoatpathctl {stoatpath.VERSION}")
        return EXIT_OK
    if len(argv) < 2 or argv[1] not in COMMANDS:
        print(USAGE, file=sys.stderr)
        return EXIT_USAGE
    result = asyncio.run(_run(argv[1], argv[2:]))
    if FLAGS.json:
        print(json.dumps(result.data, indent=2))
        return result.code
    stream = sys.stdout if result.code == EXIT_OK else sys.stderr
    for index, line in enumerate(result.lines):
        colour = GREEN if result.code == EXIT_OK else RED
        is_terminal = stream.isatty() and index == 0 and len(result.lines) > 0
        print(colorize(line, colour, is_terminal), file=stream)
    return result.code


def _parse(argv):
    """Parse flags, which may be before or after the command."""
    if {"--help", "-h", "-help"} & set(argv[1:]):
        print(USAGE)
        sys.exit(EXIT_OK)
    FLAGS.set_gnu_getopt(True)
    try:
        return FLAGS(argv)
    except flags.Error as error:
        print(f"stoatpathctl: {error}\n\n{USAGE}", file=sys.stderr)
        sys.exit(EXIT_USAGE)


def run():
    """Entry point of the program."""
    app.run(main, flags_parser=_parse)


if __name__ == "__main__":
    run()
