"""Decides what accepted changes mean for a submission made beside them."""

from stoatpath.configuration.messages import Accepted, Conflict, Invalid, Problem
from stoatpath.configuration.references import find_references


def check_conflicts(submission, accepted_since, by_kind):
    """Return the verdict that accepted changes already give, or None.

    `accepted_since` holds the changes accepted after the base revision, oldest
    first; `by_kind` the documents as they stand after them.
    """
    for accepted in accepted_since:
        if accepted.submission.submission_id == submission.submission_id:
            return _check_repeated(submission, accepted)
    racing = []
    documents = set()
    for accepted in accepted_since:
        shared = _shared_documents(submission, accepted.submission, by_kind)
        if shared:
            racing.append(accepted)
            documents |= shared
    return Conflict(racing, sorted(documents)) if racing else None


def _check_repeated(submission, accepted):
    mine = [change.to_json() for change in submission.changes]
    theirs = [change.to_json() for change in accepted.submission.changes]
    if mine == theirs:
        return Accepted(accepted.revision)
    expected = f"an id not used by revision {accepted.revision}"
    return Invalid([Problem("submission_id", submission.submission_id, expected)])


def _shared_documents(mine, theirs, by_kind):
    """Return `kind.name` of each document that one side changes and both need."""
    my_changes = _changed(mine)
    their_changes = _changed(theirs)
    shared = my_changes & their_changes
    shared |= _referred(mine, by_kind) & their_changes
    shared |= _referred(theirs, by_kind) & my_changes
    return {f"{kind}.{name}" for kind, name in shared}


def _changed(submission):
    return {(change.kind, change.name) for change in submission.changes}


def _referred(submission, by_kind):
    found = set()
    for change in submission.changes:
        found |= find_references(change.kind, change.body, by_kind)
    return found
