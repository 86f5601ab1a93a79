"""What tokens and pins cost, and what the first turn of a session should pin."""

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
DEAR_COST = 2.0
CHANCES_GOOD = (0.5, 0.7, 0.9)


def run(seed):
    """Return the slopes of sessions and the price of each way to pin."""
    figures = [
        Figure("sessions.bytes_per_pin", round(bytes_per_object(_fill, PINS)), "B"),
        Figure("sessions.token_bytes", len(_signer().sign(_pin(7))), "B"),
        Figure("sessions.sign_us", _time_sign(), "us"),
        Figure("sessions.read_us", _time_read(), "us"),
    ]
    for count in INSTANCE_COUNTS:
        figures.append(Figure(f"sessions.rank_us.{count}", _time_rank(count), "us"))
    for chance in CHANCES_GOOD:
        figures.extend(_pin_prices(chance, random.Random(seed)))
    return Report("session-costs", seed, figures, is_timed=True)


def _signer():
    return TokenSigner({"1": "measured-session-key"})


def _pin(number):
    """Build a pin as one that came over the wire: with strings of its own."""
    fields = ("reef-villages", "desk-assist", "tern-small@1")
    names = [sys.intern(field) for field in fields]
    return SessionPin(f"guest-{number:012d}", *names, 1_700_000_000_000 + number, 1)


def _fill(count):
    store = PinStore(count)
    for number in range(count):
        store.put(_pin(number))
    return store


def _time_sign():
    signer = _signer()
    pin = _pin(7)
    return round(cpu_us_per_call(lambda _: signer.sign(pin), CALLS), 2)


def _time_read():
    signer = _signer()
    token = signer.sign(_pin(7))
    return round(cpu_us_per_call(lambda _: signer.verify(token), CALLS), 2)


def _time_rank(count):
    """Return the time to rank all shards once, as each change of members costs."""
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
    """Return cost and bad turns of a session for each version that may be pinned.

    Each session has a difficulty: the chance that the cheap version is good
    enough for a turn of it, spread around the mean. The first turn escalates.
    """
    costs = dict.fromkeys(("answered", "started", "free"), 0.0)
    bad = dict.fromkeys(costs, 0)
    for _ in range(SESSIONS):
        good = min(1.0, max(0.0, rng.gauss(chance_good, 0.25)))
        is_first_good = rng.random() < good
        for name in costs:
            costs[name] += CHEAP_COST + (0.0 if is_first_good else DEAR_COST)
        for _ in range(TURNS - 1):
            is_good = rng.random() < good
            costs["answered"] += CHEAP_COST if is_first_good else DEAR_COST
            costs["started"] += CHEAP_COST
            costs["free"] += CHEAP_COST + (0.0 if is_good else DEAR_COST)
            bad["answered"] += is_first_good and not is_good
            bad["started"] += not is_good
    turns = SESSIONS * TURNS
    label = f"{chance_good:g}"
    figures = []
    for name in costs:
        cost = costs[name] / turns
        figures.append(Figure(f"sessions.{name}.{label}.cost", cost, "price/turn"))
        share = bad[name] / turns
        figures.append(Figure(f"sessions.{name}.{label}.bad", share, "share"))
    return figures
