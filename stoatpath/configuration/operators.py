"""Operators, their keys and roles."""

import hmac

READER = "reader"
OPERATOR = "operator"


class Operator:
    """An operator. The role `reader` may only read, `operator` may also submit."""

    __slots__ = ("name", "role")

    def __init__(self, name, role):
        self.name = name
        self.role = role

    def has_role(self, role):
        """Return whether the operator has a role; `operator` includes `reader`."""
        return self.role == OPERATOR or self.role == role


class OperatorKeys:
    """Keys of the form `NAME.SECRET`, compared in constant time."""

    __slots__ = ("_operators", "_keys")

    def __init__(self, operators, keys):
        self._operators = operators
        self._keys = keys

    @classmethod
    def from_settings(cls, keys_by_operator):
        """Build from secrets, or secrets with roles, by operator name."""
        operators = []
        keys = []
        for name, value in keys_by_operator.items():
            given = value if isinstance(value, dict) else {"secret": value}
            operators.append(Operator(name, given.get("role", OPERATOR)))
            keys.append(f"{name}.{given['secret']}".encode())
        return cls(operators, keys)

    def authenticate(self, given):
        """Return the operator of a key, or None.

        Every key is compared, so that the time does not depend on which one matches.
        """
        authenticated = None
        # Headers hold bytes that are not UTF-8 as surrogates.
        given_bytes = given.encode(errors="surrogateescape")
        for operator, key in zip(self._operators, self._keys):
            if hmac.compare_digest(given_bytes, key):
                authenticated = operator
        return authenticated
