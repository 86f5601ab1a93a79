"""Builds the configuration change that completes a roll-out."""

from stoatpath.configuration.messages import MODEL, ROLLOUT, Change, Submission

ROLLOUT_OPERATOR = "rollout"


def build_completion(snapshot, rollout, version):
    """Return the submission that makes the new version current and ends the roll-out.

    It is based on the revision of `snapshot`, so that a concurrent change by an
    operator takes precedence. Its identifier doesn't depend on the submitter, so
    that a repeated submission is recognised.
    """
    body = dict(snapshot.by_kind[MODEL][rollout.model])
    body["current"] = version.name.partition("@")[2]
    submission_id = f"rollout-{rollout.name}-{version.name}-{version.trial}"
    changes = [
        Change(MODEL, rollout.model, body),
        Change(ROLLOUT, rollout.name, None),
    ]
    return Submission(submission_id, ROLLOUT_OPERATOR, snapshot.revision, changes)
