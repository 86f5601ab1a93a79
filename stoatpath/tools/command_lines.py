"""Exit codes and help text shared by all programs."""

import sys

from absl import flags

EXIT_OK = 0
EXIT_CUT = 1
EXIT_BAD_SETTINGS = 2


def show_flags(*names):
    """Make `--help` list the flags, also when run as an installed script."""
    for name in names:
        flags.FLAGS.register_key_flag_for_module(sys.argv[0], flags.FLAGS[name])
