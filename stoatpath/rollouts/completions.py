"""Makes a rolled-out version the current one of its model."""

from stoatpath.configuration.messages import MODEL, ROLLOUT, Change, Submission

ROLLOUT_OPERATOR = "rollout"


def build_completion(snapshot, rollout, version):
    """Return the submission that ends a roll-out.

    It is made against the revision looked at, so that a change by an operator
    in between wins; its identifier is the same whoever submits it.
    """
    body = dict(snapshot.by_kind[MODEL][rollout.model])
    body["current"] = version.name.partition("@")[2]
    submission_id = f"rollout-{rollout.name}-{version.name}-{version.trial}"
    changes = [
        Change(MODEL, rollout.model, body),
        Change(ROLLOUT, rollout.name, None),
    ]
    return Submission(submission_id, ROLLOUT_OPERATOR, snapshot.revision, changes)
