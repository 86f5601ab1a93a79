"""Selects the versions that a request may run on, in ascending order of cost."""

from stoatpath.configuration.documents import (
    ACTIVE,
    MODEL_SERVICE,
    WITHDRAWN,
    Version,
)


def select_versions(snapshot, assigner, request, pin):
    """Return versions, and the reason why a session left its version or "".

    A pinned session gets only its version while that one is open, which means that
    it accepts new requests, and allowed for the organisation.
    """
    service = request.service
    if service.kind != MODEL_SERVICE:
        plain_version = Version(
            service.name, service.name, service.cost_per_call, ACTIVE
        )
        return [plain_version], ""
    move_reason = ""
    if pin is not None:
        version = snapshot.versions_by_name.get(pin.version)
        move_reason = _move_reason(version, assigner, request)
        if not move_reason:
            return [version], ""
    return _cascade_versions(snapshot, assigner, request), move_reason


def _move_reason(version, assigner, request):
    if version is None or version.state == WITHDRAWN:
        return "the version was withdrawn"
    if not assigner.is_open(version):
        return "the version was suspended"
    if not request.organisation.allows(request.service.name, version):
        return "the version is no longer allowed"
    return ""


def _cascade_versions(snapshot, assigner, request):
    versions = []
    key = request.session or request.request_id
    for name in request.service.cascade:
        model = snapshot.models_by_name.get(name)
        if model is None:
            continue
        version = assigner.assign(
            model, request.organisation, request.service.name, key
        )
        if version is not None:
            versions.append(version)
    return versions
