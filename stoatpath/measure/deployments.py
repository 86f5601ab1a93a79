"""The sample deployments that experiments use, with their modelled traffic."""

import os

from stoatpath.configuration.documents import MODEL_SERVICE
from stoatpath.configuration.files import read_changes
from stoatpath.configuration.snapshots import Snapshot

SAMPLES = os.path.join(
    os.path.dirname(os.path.dirname(os.path.dirname(__file__))), "samples"
)
CORAL_COAST = "coral-coast"
PRICHARD = "prichard"
DEPLOYMENTS = (CORAL_COAST, PRICHARD)


class Traffic:
    """The share of requests for a purpose, and its mean prompt and answer lengths.

    `tokens_sigma` is the standard deviation of the logarithm of answer lengths;
    `session_share` is the share of requests that belong to a session.
    """

    __slots__ = ("share", "prompt_tokens", "tokens", "tokens_sigma", "session_share")

    def __init__(self, share, prompt_tokens, tokens, tokens_sigma, session_share):
        self.share = share
        self.prompt_tokens = prompt_tokens
        self.tokens = tokens
        self.tokens_sigma = tokens_sigma
        self.session_share = session_share


TRAFFIC_BY_PURPOSE = {
    "guest-question": Traffic(0.55, 300, 120, 0.8, 0.6),
    "tide-note": Traffic(0.42, 80, 40, 0.4, 0.0),
    "lease-summary": Traffic(0.03, 3_000, 500, 0.6, 0.0),
    "risk-note": Traffic(0.35, 500, 100, 0.6, 0.3),
    "ward-briefing": Traffic(0.05, 2_000, 500, 0.6, 0.0),
    "status-check": Traffic(0.60, 80, 40, 0.4, 0.2),
}
ZONES_BY_DEPLOYMENT = {
    CORAL_COAST: ("nadi-a", "nadi-b", "sigatoka", "lautoka"),
    PRICHARD: ("hall-taf", "hall-nedd", "hall-tywi"),
}
ZONE_DISTANCE_MS_BY_DEPLOYMENT = {CORAL_COAST: 1.0, PRICHARD: 1.5}


class Deployment:
    """A sample configuration with its zones; `service` is the model service."""

    __slots__ = ("name", "snapshot", "service", "zones", "zone_distance_ms")

    def __init__(self, name, snapshot):
        self.name = name
        self.snapshot = snapshot
        self.service = next(
            service
            for service in snapshot.services_by_name.values()
            if service.kind == MODEL_SERVICE
        )
        self.zones = ZONES_BY_DEPLOYMENT[name]
        self.zone_distance_ms = ZONE_DISTANCE_MS_BY_DEPLOYMENT[name]

    @classmethod
    def from_sample(cls, name):
        """Load a deployment from its sample documents."""
        path = os.path.join(SAMPLES, name, "organisations.json5")
        changes, problems = read_changes(path)
        if problems:
            raise ValueError("; ".join(map(str, problems)))
        return cls(name, Snapshot.empty().with_changes(1, changes))

    @property
    def versions(self):
        """Return the current version of each model of the cascade, cheapest first."""
        models = [self.snapshot.models_by_name[name] for name in self.service.cascade]
        return [model.by_version[model.current] for model in models]

    @property
    def organisations(self):
        """Return the organisations in the order of the sample."""
        return list(self.snapshot.organisations_by_name.values())

    def traffic(self):
        """Return pairs of a purpose and its traffic."""
        return [
            (purpose, TRAFFIC_BY_PURPOSE[name])
            for name, purpose in self.service.by_purpose.items()
        ]
