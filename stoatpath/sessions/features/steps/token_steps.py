"""Steps for signed tokens."""

from behave import given, then, when
from hypothesis import given as forall, settings, strategies as st
from rig import Network, SessionRequest

from stoatpath.sessions.pins import SessionPin
from stoatpath.sessions.tokens import TokenSigner

PROFILE = settings(derandomize=True, database=None, deadline=None, max_examples=200)
SECRETS = {"1": "first-secret", "2": "second-secret", "3": "third-secret"}
PIN = SessionPin("guest-1", "reef-villages", "desk-assist", "tern-small@1", 1_000, 1)


def signer(key_ids):
    """Return a signer with some of the secrets, the newest last."""
    return TokenSigner({key_id: SECRETS[key_id] for key_id in key_ids})


@given('a token signed with the key "{newest}" of the keys "{keys}"')
def step_impl(context, newest, keys):
    context.token = signer(keys.split(", ")).sign(PIN)


@when('it is read by an instance with the keys "{keys}", {case}')
def step_impl(context, keys, case):
    token = context.token
    payload, _, signature = token.rpartition(".")
    if case == "with its version changed":
        other = SessionPin(*PIN.to_json()[:3], "tern-small@2", 1_000, 1)
        token = signer("2").sign(other).rpartition(".")[0] + "." + signature
    elif case == "with its signature cut":
        token = f"{payload}.{signature[:-1]}"
    elif case == "with another key's signature":
        token = payload + "." + signer("1").sign(PIN).rpartition(".")[2]
    turn = SessionRequest(token)
    if case == "sent by another organisation":
        turn = SessionRequest(token, organisation="harbour-tours")
    elif case == "sent to another service":
        turn = SessionRequest(token, service="stoat-llm")
    instance = Network().start("router-1", "zone-a")
    instance.pins._signer = signer(keys.split(", "))
    coroutine = instance.pins.find_pin(turn)
    try:
        coroutine.send(None)
    except StopIteration as end:
        context.pin = end.value


@then("it yields its pin")
def step_impl(context):
    assert context.pin.to_json() == PIN.to_json()


@then("it is not accepted")
def step_impl(context):
    assert context.pin is None


@then("any text, and any change of a token, yields no pin or the same one")
def step_impl(context):
    keys = signer("12")
    token = keys.sign(PIN)
    changed = st.tuples(
        st.integers(0, len(token)), st.integers(0, 5), st.text(max_size=4)
    ).map(lambda cut: token[: cut[0]] + cut[2] + token[cut[0] + cut[1] :])

    @PROFILE
    @forall(changed | st.text().map(lambda text: "st1." + text))
    def check(text):
        if not text.startswith("st1."):
            return
        pin = keys.verify(text)
        assert pin is None or pin.to_json() == PIN.to_json()

    check()
