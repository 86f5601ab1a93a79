"""Validates a configuration as a whole before it is accepted."""

import re

from jsonschema import Draft202012Validator

from stoatpath.configuration.documents import ACTIVE
from stoatpath.configuration.messages import (
    KINDS,
    MODEL,
    ORGANISATION,
    ROLLOUT,
    SERVICE,
    TEMPLATE,
    Problem,
)
from stoatpath.configuration.schemas import (
    NAME_PATTERN,
    RENDERED_ORGANISATION_SCHEMA,
    SCHEMAS_BY_KIND,
)
from stoatpath.configuration.templates import render_organisation

_NAME = re.compile(NAME_PATTERN)
_VALIDATORS_BY_KIND = {
    kind: Draft202012Validator(schema) for kind, schema in SCHEMAS_BY_KIND.items()
}
_RENDERED_VALIDATOR = Draft202012Validator(RENDERED_ORGANISATION_SCHEMA)


def find_problems(by_kind):
    """Return every problem of a configuration given as `by_kind[kind][name]`."""
    problems = _find_shape_problems(by_kind)
    if problems:
        return problems
    for name, body in by_kind[MODEL].items():
        problems += _check_model(f"model.{name}", body)
    for name, body in by_kind[SERVICE].items():
        problems += _check_service(f"service.{name}", body, by_kind)
    for name, body in by_kind[TEMPLATE].items():
        problems += _check_template(f"template.{name}", body)
    for name, body in by_kind[ORGANISATION].items():
        problems += _check_organisation(f"organisation.{name}", body, by_kind)
    if not problems:
        problems += _check_caller_keys(by_kind)
    for name, body in by_kind[ROLLOUT].items():
        problems += _check_rollout(f"rollout.{name}", body, by_kind)
    return problems


def schema_problems(path, value, validator):
    """Return one problem for each violation of a schema by a value."""
    problems = []
    for error in validator.iter_errors(value):
        problem_path = ".".join([path, *map(str, error.absolute_path)])
        problems.append(
            Problem(problem_path, error.instance, _describe_expected(error))
        )
    return problems


def _describe_expected(error):
    if error.validator == "additionalProperties":
        return f"only {sorted(error.schema.get('properties', {}))}"
    return f"{error.validator} {error.validator_value}"


def _find_shape_problems(by_kind):
    problems = []
    for kind in KINDS:
        for name, body in by_kind[kind].items():
            path = f"{kind}.{name}"
            if not _NAME.match(name):
                problems.append(Problem(path, name, f"a name like {NAME_PATTERN}"))
            problems += schema_problems(path, body, _VALIDATORS_BY_KIND[kind])
    return problems


def _check_model(path, body):
    states = {
        label: version.get("state", ACTIVE)
        for label, version in body["versions"].items()
    }
    if body["current"] in states:
        if states[body["current"]] == ACTIVE or ACTIVE not in states.values():
            return []
        active_labels = sorted(name for name in states if states[name] == ACTIVE)
        expected = f"an active version, one of {active_labels}"
        return [Problem(f"{path}.current", body["current"], expected)]
    expected = f"one of {sorted(body['versions'])}"
    return [Problem(f"{path}.current", body["current"], expected)]


def _check_service(path, body, by_kind):
    problems = []
    if body["kind"] == "model" and "cascade" not in body:
        problems.append(Problem(f"{path}.cascade", None, "the models, cheapest first"))
    for index, model in enumerate(body.get("cascade", ())):
        if model not in by_kind[MODEL]:
            expected = f"one of the models {sorted(by_kind[MODEL])}"
            problems.append(Problem(f"{path}.cascade.{index}", model, expected))
    if body["default_purpose"] not in body["purposes"]:
        expected = f"one of {sorted(body['purposes'])}"
        problem_path = f"{path}.default_purpose"
        problems.append(Problem(problem_path, body["default_purpose"], expected))
    return problems


def _check_template(path, body):
    problems = []
    for name, declaration in body["parameters"].items():
        if "default" in declaration:
            problem_path = f"{path}.parameters.{name}.default"
            validator = Draft202012Validator(_value_schema(declaration))
            problems += schema_problems(problem_path, declaration["default"], validator)
    return problems


def _value_schema(declaration):
    return {key: value for key, value in declaration.items() if key != "default"}


def _check_organisation(path, body, by_kind):
    template = by_kind[TEMPLATE].get(body["template"])
    if template is None:
        expected = f"one of the templates {sorted(by_kind[TEMPLATE])}"
        return [Problem(f"{path}.template", body["template"], expected)]
    rendered, problems = render_organisation(path, template, body["parameters"])
    for name, value in body["parameters"].items():
        if name in template["parameters"]:
            schema = _value_schema(template["parameters"][name])
            problem_path = f"{path}.parameters.{name}"
            problems += schema_problems(
                problem_path, value, Draft202012Validator(schema)
            )
    if problems:
        return problems
    problems = schema_problems(path, rendered, _RENDERED_VALIDATOR)
    return problems or _check_allowed(path, rendered, by_kind)


def _check_caller_keys(by_kind):
    """Return a problem for each caller key identifier used by two organisations."""
    problems = []
    names_by_key_id = {}
    for name, body in by_kind[ORGANISATION].items():
        template = by_kind[TEMPLATE][body["template"]]
        rendered, _ = render_organisation(name, template, body["parameters"])
        for key_id in rendered["keys"]:
            other_name = names_by_key_id.setdefault(key_id, name)
            if other_name != name:
                path = f"organisation.{name}.keys"
                expected = f"another identifier: {other_name} has a key of this one"
                problems.append(Problem(path, key_id, expected))
    return problems


def _check_allowed(path, rendered, by_kind):
    problems = []
    for service, entries in rendered["allowed"].items():
        problem_path = f"{path}.allowed.{service}"
        if service not in by_kind[SERVICE]:
            expected = f"one of the services {sorted(by_kind[SERVICE])}"
            problems.append(Problem(problem_path, service, expected))
            continue
        for entry in entries:
            if entry != service and not _is_known_entry(entry, by_kind[MODEL]):
                expected = "a model, or a version as model@version"
                problems.append(Problem(problem_path, entry, expected))
    return problems


def _is_known_entry(entry, models):
    model, _, version = entry.partition("@")
    return model in models and (not version or version in models[model]["versions"])


def _check_rollout(path, body, by_kind):
    model = by_kind[MODEL].get(body["model"])
    if model is None:
        expected = f"one of the models {sorted(by_kind[MODEL])}"
        return [Problem(f"{path}.model", body["model"], expected)]
    if body["to"] not in model["versions"]:
        expected = f"one of {sorted(model['versions'])}"
        return [Problem(f"{path}.to", body["to"], expected)]
    if body["steps"] != sorted(body["steps"]):
        return [Problem(f"{path}.steps", body["steps"], "shares that rise")]
    if body["to"] == model["current"]:
        expected = "another version than the current one"
        return [Problem(f"{path}.to", body["to"], expected)]
    for name, other in by_kind[ROLLOUT].items():
        if other["model"] == body["model"] and f"rollout.{name}" != path:
            expected = f"a model without a roll-out; {name} is under way"
            return [Problem(f"{path}.model", body["model"], expected)]
    return []
