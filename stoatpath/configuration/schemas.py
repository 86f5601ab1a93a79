"""JSON schemas of the documents that operators submit."""

from stoatpath.configuration.messages import (
    MODEL,
    ORGANISATION,
    ROLLOUT,
    SERVICE,
    TEMPLATE,
)

NAME_PATTERN = "^[a-z0-9][a-z0-9-]{0,62}$"
_NAME = {"type": "string", "pattern": NAME_PATTERN}
_ALLOWED_ENTRY = {"type": "string", "pattern": "^[a-z0-9-]+(@[a-z0-9.-]+)?$"}
_SHARE = {"type": "number", "minimum": 0, "maximum": 1}
_COST = {"type": "number", "minimum": 0}


def _strict(required, optional=None):
    properties = {**required, **(optional or {})}
    return {
        "type": "object",
        "properties": properties,
        "required": sorted(required),
        "additionalProperties": False,
    }


_VERSION = _strict(
    {},
    {
        "state": {"enum": ["active", "withdrawn", "suspended"]},
        "cost": _COST,
        "trial": {"type": "integer", "minimum": 1},
    },
)
_VERSIONS = {
    "type": "object",
    "minProperties": 1,
    "propertyNames": {"pattern": "^[a-z0-9][a-z0-9.-]{0,30}$"},
    "additionalProperties": _VERSION,
}
_PURPOSE = _strict(
    {"timeout_ms": {"type": "integer", "minimum": 1, "maximum": 600_000}},
    {
        "quality": _SHARE,
        "short": {"type": "boolean"},
        "repeatable": {"type": "boolean"},
    },
)
_METHODS = {"enum": ["GET", "HEAD", "PUT", "DELETE", "POST", "PATCH", "OPTIONS"]}
_CALLER_KEY = _strict(
    {
        "salt": {"type": "string", "pattern": "^[0-9a-f]{16,64}$"},
        "sha256": {"type": "string", "pattern": "^[0-9a-f]{64}$"},
    }
)

MODEL_SCHEMA = _strict(
    {"cost": _COST, "current": {"type": "string"}, "versions": _VERSIONS}
)
SERVICE_SCHEMA = _strict(
    {
        "kind": {"enum": ["model", "plain"]},
        "default_purpose": {"type": "string"},
        "purposes": {
            "type": "object",
            "minProperties": 1,
            "propertyNames": _NAME,
            "additionalProperties": _PURPOSE,
        },
    },
    {
        "cascade": {"type": "array", "items": _NAME, "minItems": 1},
        "repeatable_methods": {"type": "array", "items": _METHODS},
        "cost_per_call": _COST,
        "objective": _strict({}, {"latency_weight": _COST, "exposure_weight": _COST}),
    },
)
PARAMETER_SCHEMA = _strict(
    {"type": {"enum": ["integer", "number", "string", "boolean", "array", "object"]}},
    {
        "default": {},
        "minimum": {"type": "number"},
        "maximum": {"type": "number"},
        "enum": {"type": "array"},
    },
)
TEMPLATE_SCHEMA = _strict(
    {
        "parameters": {
            "type": "object",
            "propertyNames": {"pattern": "^[a-z][a-z0-9_]*$"},
            "additionalProperties": PARAMETER_SCHEMA,
        },
        "organisation": {"type": "object"},
    }
)
ORGANISATION_SCHEMA = _strict({"template": _NAME, "parameters": {"type": "object"}})
RENDERED_ORGANISATION_SCHEMA = _strict(
    {
        "weight": {"type": "number", "exclusiveMinimum": 0, "maximum": 1000},
        "rate_per_s": {"type": "number", "exclusiveMinimum": 0},
        "keys": {
            "type": "object",
            "propertyNames": _NAME,
            "additionalProperties": _CALLER_KEY,
        },
        "allowed": {
            "type": "object",
            "propertyNames": _NAME,
            "additionalProperties": {
                "type": "array",
                "items": _ALLOWED_ENTRY,
                "minItems": 1,
            },
        },
    }
)
ROLLOUT_SCHEMA = _strict(
    {
        "model": _NAME,
        "to": {"type": "string"},
        "steps": {"type": "array", "items": _SHARE, "minItems": 1, "maxItems": 20},
    },
    {
        "min_ratings": {"type": "integer", "minimum": 20},
        "step_ms": {"type": "integer", "minimum": 1},
        "tolerance": _SHARE,
        "rating_share": {"type": "number", "exclusiveMinimum": 0, "maximum": 1},
        "state": {"enum": ["running", "halted"]},
    },
)
SCHEMAS_BY_KIND = {
    MODEL: MODEL_SCHEMA,
    SERVICE: SERVICE_SCHEMA,
    TEMPLATE: TEMPLATE_SCHEMA,
    ORGANISATION: ORGANISATION_SCHEMA,
    ROLLOUT: ROLLOUT_SCHEMA,
}
