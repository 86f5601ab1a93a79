"""Finds the versions that a request may run on, from cheap to dear."""

from stoatpath.configuration.documents import (
    ACTIVE,
    MODEL_SERVICE,
    WITHDRAWN,
    Version,
)


def find_versions(snapshot, assigner, request, pin):
    """Return versions and the reason why a session left its version, or "".

    A pinned session gets its version alone, while that is open and allowed.
    """
    service = request.service
    if service.kind != MODEL_SERVICE:
        plain = Version(service.name, service.name, service.cost_per_call, ACTIVE)
        return [plain], ""
    moved = ""
    if pin is not None:
        version = snapshot.versions_by_name.get(pin.version)
        moved = _why_not(version, assigner, request)
        if not moved:
            return [version], ""
    return _cascade(snapshot, assigner, request), moved


def _why_not(version, assigner, request):
    if version is None or version.state == WITHDRAWN:
        return "the version was withdrawn"
    if not assigner.is_open(version):
        return "the version was suspended"
    if not request.organisation.allows(request.service.name, version):
        return "the version is no longer allowed"
    return ""


def _cascade(snapshot, assigner, request):
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
