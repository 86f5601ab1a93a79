"""Renders organisations from templates and parameters."""

from stoatpath.configuration.messages import Problem

PARAMETER_REFERENCE = "$parameter"


def render_organisation(path, template, parameters):
    """Return the rendered body and a list of problems.

    Each `{"$parameter": NAME}` in the template is replaced by the parameter's value
    or default.
    """
    declared = template["parameters"]
    problems = [
        Problem(f"{path}.parameters.{name}", name, f"one of {sorted(declared)}")
        for name in parameters
        if name not in declared
    ]
    values = {}
    for name, declaration in declared.items():
        if name in parameters:
            values[name] = parameters[name]
        elif "default" in declaration:
            values[name] = declaration["default"]
        else:
            expected = f"a value of type {declaration['type']}"
            problems.append(Problem(f"{path}.parameters.{name}", None, expected))
    if problems:
        return None, problems
    return _substitute(template["organisation"], values, path, problems), problems


def _substitute(part, values, path, problems):
    if isinstance(part, dict):
        if set(part) == {PARAMETER_REFERENCE}:
            name = part[PARAMETER_REFERENCE]
            if name in values:
                return values[name]
            expected = f"one of {sorted(values)}"
            problems.append(Problem(f"{path}.{PARAMETER_REFERENCE}", name, expected))
            return None
        return {
            key: _substitute(value, values, f"{path}.{key}", problems)
            for key, value in part.items()
        }
    if isinstance(part, list):
        return [_substitute(value, values, path, problems) for value in part]
    return part
