"""Cost of session tokens and pins, and of pinning different versions."""

import random
import sys

from stoatpath.measure.decision_costs import bytes_per_object, cpu_us_per_call
from stoatpath.measure.reports import Figure, Report
from stoatpath.membership.messages import LIVE, Member
from stoatpath.sessions.holders import SHARD_COUNT, HolderRanking
from stoatpath.sessions.pins import PinStore, SessionPin
from stoatpath.sessions.tokens import TokenSigner

PINS = 20_000
CALLS = 20_000
INSTANCE_COUNTS = (9, 540)
ZONES = ("zone-a", "zone-b", "zone-c", "zone-d")
TURNS = 6
SESSIONS = 20_000
CHEAP_COST = 0.2
EXPENSIVE_COST = 2.0
CHEAP_GOOD_CHANCES = (0.5, 0.7, 0.9)


def run(seed):
    """Return the report of session costs and of the prices of pinning strategies."""
    figures = [
        Figure(
            "sessions.bytes_per_pin",
            round(bytes_per_object(_build_pin_store, PINS)),
            "B",
        ),
        Figure("sessions.token_bytes", len(_signer().sign(_build_pin(7))), "B"),
        Figure("sessions.sign_us", _time_sign(), "us"),
        Figure("sessions.read_us", _time_read(), "us"),
    ]
    for count in INSTANCE_COUNTS:
        figures.append(Figure(f"sessions.rank_us.{count}", _time_rank(count), "us"))
    for chance in CHEAP_GOOD_CHANCES:
        figures.extend(_pin_prices(chance, random.Random(seed)))
    return Report("session-costs", seed, figures, is_timed=True)


def _signer():
    return TokenSigner({"1": "measured-session-key"})


def _build_pin(number):
    """Build a pin as decoded from a message: with its own session id string."""
    fields = ("reef-villages", "desk-assist", "tern-small@1")
    names = [sys.intern(field) for field in fields]
    return SessionPin(f"guest-{number:012d}", *names, 1_700_000_000_000 + number, 1)


def _build_pin_store(count):
    store = PinStore(count)
    for number in range(count):
        store.put(_build_pin(number))
    return store


def _time_sign():
    signer = _signer()
    pin = _build_pin(7)
    return round(cpu_us_per_call(lambda _: signer.sign(pin), CALLS), 2)


def _time_read():
    signer = _signer()
    token = signer.sign(_build_pin(7))
    return round(cpu_us_per_call(lambda _: signer.verify(token), CALLS), 2)


def _time_rank(count):
    """Return the time to rank all shards once, as on each change of members."""
    members = {
        f"router-{index}": Member(
            f"router-{index}", "router", "", ZONES[index % len(ZONES)], 1, LIVE
        )
        for index in range(count)
    }
    ranking = HolderRanking(members)
    keys = [f"session-{index}" for index in range(8 * SHARD_COUNT)]
    total_us = cpu_us_per_call(
        lambda index: ranking.holders(keys[index]), len(keys)
    ) * len(keys)
    return round(total_us)


def _pin_prices(chance_good, rng):
    """Return the cost and the share of bad turns for each pinning strategy.

    Each session has its own chance that the cheap version is good enough for a
    turn, normally distributed around `chance_good`. The first turn may escalate.
    """
    costs = dict.fromkeys(("answered", "started", "free"), 0.0)
    bad_turns = dict.fromkeys(costs, 0)
    for _ in range(SESSIONS):
        good_chance = min(1.0, max(0.0, rng.gauss(chance_good, 0.25)))
        is_first_good = rng.random() < good_chance
        for name in costs:
            costs[name] += CHEAP_COST + (0.0 if is_first_good else EXPENSIVE_COST)
        for _ in range(TURNS - 1):
            is_good = rng.random() < good_chance
            costs["answered"] += CHEAP_COST if is_first_good else EXPENSIVE_COST
            costs["started"] += CHEAP_COST
            costs["free"] += CHEAP_COST + (0.0 if is_good else EXPENSIVE_COST)
            bad_turns["answered"] += is_first_good and not is_good
            bad_turns["started"] += not is_good
    turns = SESSIONS * TURNS
    label = f"{chance_good:g}"
    figures = []
    for name in costs:
        cost = costs[name] / turns
        figures.append(Figure(f"sessions.{name}.{label}.cost", cost, "price/turn"))
        share = bad_turns[name] / turns
        figures.append(Figure(f"sessions.{name}.{label}.bad", share, "share"))
    return figures
