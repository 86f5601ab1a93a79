"""Reads the configuration files of operators, in JSON with comments."""

import pyjson5

from stoatpath.configuration.messages import (
    MODEL,
    ORGANISATION,
    ROLLOUT,
    SERVICE,
    TEMPLATE,
    Change,
    Problem,
)

KINDS_BY_SECTION = {
    "models": MODEL,
    "services": SERVICE,
    "templates": TEMPLATE,
    "organisations": ORGANISATION,
    "rollouts": ROLLOUT,
}


def read_changes(path):
    """Return the changes in a file and a list of problems.

    A document whose value is null is deleted.
    """
    try:
        with open(path, encoding="utf-8") as file:
            data = pyjson5.decode_io(file)
    except OSError as error:
        return [], [Problem(path, error.strerror, "a file that can be read")]
    except pyjson5.Json5DecoderException as error:
        return [], [Problem(path, str(error), "JSON with comments")]
    if not isinstance(data, dict):
        return [], [Problem(path, type(data).__name__, "an object")]
    changes = []
    problems = []
    for section, documents in data.items():
        if section not in KINDS_BY_SECTION:
            expected = f"one of {sorted(KINDS_BY_SECTION)}"
            problems.append(Problem(f"{path}: {section}", section, expected))
        elif not isinstance(documents, dict):
            expected = "an object of documents by name"
            problems.append(Problem(f"{path}: {section}", documents, expected))
        else:
            kind = KINDS_BY_SECTION[section]
            changes += [Change(kind, name, body) for name, body in documents.items()]
    return changes, problems
