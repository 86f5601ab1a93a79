"""Detects conflicts between a submission and changes accepted after its base."""

from stoatpath.configuration.messages import Accepted, Conflict, Invalid, Problem
from stoatpath.configuration.references import find_references


def check_conflicts(submission, accepted_since, by_kind):
    """Return the verdict that follows from accepted changes, or None.

    That is `Conflict`, or, if the submission itself was accepted before, `Accepted`.
    `accepted_since` holds the changes accepted after the base revision, oldest
    first; `by_kind` holds the documents after them.
    """
    for accepted in accepted_since:
        if accepted.submission.submission_id == submission.submission_id:
            return _check_repeated(submission, accepted)
    conflicting = []
    documents = set()
    for accepted in accepted_since:
        shared = _shared_documents(submission, accepted.submission, by_kind)
        if shared:
            conflicting.append(accepted)
            documents |= shared
    return Conflict(conflicting, sorted(documents)) if conflicting else None


def _check_repeated(submission, accepted):
    changes = [change.to_json() for change in submission.changes]
    accepted_changes = [change.to_json() for change in accepted.submission.changes]
    if changes == accepted_changes:
        return Accepted(accepted.revision)
    expected = f"an id not used by revision {accepted.revision}"
    return Invalid([Problem("submission_id", submission.submission_id, expected)])


def _shared_documents(own_submission, accepted_submission, by_kind):
    """Return `kind.name` of each document over which two submissions conflict.

    Both change it, or one changes it and a document changed by the other refers to it.
    """
    own_documents = _changed_documents(own_submission)
    accepted_documents = _changed_documents(accepted_submission)
    shared = own_documents & accepted_documents
    shared |= _referenced_documents(own_submission, by_kind) & accepted_documents
    shared |= _referenced_documents(accepted_submission, by_kind) & own_documents
    return {f"{kind}.{name}" for kind, name in shared}


def _changed_documents(submission):
    return {(change.kind, change.name) for change in submission.changes}


def _referenced_documents(submission, by_kind):
    found = set()
    for change in submission.changes:
        found |= find_references(change.kind, change.body, by_kind)
    return found
