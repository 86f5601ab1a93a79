"""Looks up and stores session pins, and moves them when the membership changes."""

import asyncio
import logging

from stoatpath.outcomes import SESSION_UNKNOWN, Failure, is_failure
from stoatpath.sessions.holders import HolderRanking
from stoatpath.sessions.messages import PinLookup
from stoatpath.sessions.pins import PinStore, SessionPin, pin_key
from stoatpath.sessions.tokens import is_token
from stoatpath.utils import cancel_and_wait

logger = logging.getLogger(__name__)

FIND_TOPIC = "pins.find"
PUT_TOPIC = "pins.put"
ROUTER = "router"
PIN_TIMEOUT_MS = 300
HAND_OVER_TIMEOUT_MS = 1_000
HAND_OVER_PERIOD_MS = 250
HAND_OVER_BATCH_PINS = 500
PINS_PER_LOOP_TURN = 20
STABLE_AFTER_MS = 15_000


class PinDirectory:
    """The pins of all sessions, each held in memory by two instances.

    `archive` stores pins that a roll-out could change; `signer` signs tokens.
    Wire forms: `pins.find` takes `key` and returns `pin`, or null; `pins.put` takes
    `pins` and returns the stored ones, some of which may supersede those sent.

    `_unplaced_keys` holds pins that a holder has not yet confirmed. Confirmed pins
    are retired: `_retired_ms_by_key` holds the time, and a retired pin is discarded
    later unless this instance is one of its holders.
    """

    __slots__ = (
        "store",
        "_signer",
        "_archive",
        "_members",
        "_client",
        "_clock",
        "_ranking",
        "_ranking_changed_ms",
        "_unplaced_keys",
        "_retired_ms_by_key",
        "_tasks",
        "_period_ms",
    )

    def __init__(self, node, signer, archive):
        self.store = PinStore()
        self._signer = signer
        self._archive = archive
        self._members = node.members
        self._client = node.peer_client
        self._clock = node.clock
        self._ranking = HolderRanking({})
        self._ranking_changed_ms = self._clock.now_ms()
        self._unplaced_keys = set()
        self._retired_ms_by_key = {}
        self._tasks = set()
        self._period_ms = HAND_OVER_PERIOD_MS
        node.peer_server.register(FIND_TOPIC, self._handle_find)
        node.peer_server.register(PUT_TOPIC, self._handle_put)

    async def run(self):
        """Check the membership and hand pins over periodically until cancelled."""
        while True:
            started_ms = self._clock.now_ms()
            await self.hand_over()
            await self._clock.sleep_until(started_ms + self._period_ms)

    async def find_pin(self, request):
        """Return the pin of the session of a caller request, None, or a failure.

        When no holder of the session answers, the request fails with
        `SESSION_UNKNOWN` for the few seconds until the holders are considered
        dead. This keeps the session from moving to another version. An invalid token
        counts as no session pin.
        """
        if not request.session:
            return None
        if is_token(request.session):
            pin = self._signer.verify(request.session)
            return pin if pin is not None and _is_for_request(pin, request) else None
        key = _session_key(request, request.session)
        lookup = await self._look_up_pin(key)
        if lookup.pin is not None:
            return lookup.pin
        pin = await self._archive.read_pin(request.service, key, lookup.is_conclusive)
        if pin is None and lookup.no_holder_answered:
            return Failure(SESSION_UNKNOWN, "no holder of the session answered")
        return pin

    def build_pin(self, request, pin, version):
        """Return the pin of a session on `version`: `pin` if it is on it already."""
        if pin is not None and pin.version == version:
            return pin
        session_id = request.session
        sequence = 1
        if pin is not None:
            session_id = pin.session_id
            sequence = pin.sequence + 1
        elif is_token(session_id):
            session_id = request.request_id
        return SessionPin(
            session_id,
            request.organisation.name,
            request.service.name,
            version,
            self._clock.wall_ms(),
            sequence,
        )

    def token(self, pin):
        """Return a signed token that contains a pin."""
        return self._signer.sign(pin)

    def announce(self, request, pin, version, move_reason, stream):
        """Pass version and session token to a stream before its first event."""
        token = ""
        if request.session:
            new_pin = self.build_pin(request, pin, version)
            token = self.token(new_pin)
            if new_pin is not pin:
                self._spawn(self.store_pin(request, pin, new_pin))
        stream.set_version_headers(version, token, move_reason)

    async def store_pin(self, request, pin, new_pin):
        """Store a pin at its holders and in the archive unless it is unchanged.

        The first pin of a session that sends tokens needs no holder.
        """
        if new_pin is pin or (is_token(request.session) and new_pin.sequence == 1):
            return
        self._archive.enqueue(new_pin)
        await self._store_at_holders(new_pin)

    async def hand_over(self):
        """Update the ring from the membership and send each pin to its new holders."""
        ranking = self._current_ranking()
        if ranking.signature != self._ranking.signature:
            old_ranking, self._ranking = self._ranking, ranking
            self._ranking_changed_ms = self._clock.now_ms()
            for index, pin in enumerate(self.store.pins()):
                if index % PINS_PER_LOOP_TURN == 0:
                    await asyncio.sleep(0)
                if old_ranking.holder_incarnations(
                    pin.key
                ) != ranking.holder_incarnations(pin.key):
                    self._unplaced_keys.add(pin.key)
        if self._unplaced_keys:
            await self._store_unplaced()
        self._discard_retired()

    async def hand_over_all(self):
        """Send every pin to the remaining instances; return the number that failed."""
        await self.hand_over()
        self._unplaced_keys = {pin.key for pin in self.store.pins()}
        await self._store_unplaced()
        return len(self._unplaced_keys)

    def needs_hand_over(self):
        """Return whether there are pins and live instances to hold them."""
        return len(self.store) > 0 and bool(self._current_ranking().by_name)

    async def close(self):
        """Cancel the pending writes."""
        await cancel_and_wait(list(self._tasks))

    async def _look_up_pin(self, key):
        local = self.store.get_pin(key)
        holders = self._ranking.holders(key)
        is_holder = any(each.name == self._local_name for each in holders)
        if local is not None and is_holder:
            return PinLookup(local, True)
        others = [each for each in holders if each.name != self._local_name]
        found, unresponsive = await self._query_holders(key, others)
        if found is None and unresponsive:
            found, unresponsive = await self._query_holders(key, unresponsive)
        if found is not None or local is not None:
            return PinLookup(found or local, True)
        if not unresponsive and self._is_stable():
            return PinLookup(None, True)
        found, _ = await self._query_holders(key, self._ranking.fallbacks(key))
        no_holder_answered = not is_holder and 0 < len(others) == len(unresponsive)
        return PinLookup(found, False, no_holder_answered)

    async def _query_holders(self, key, holders):
        """Return the first pin found, and the holders that did not answer."""
        queries = {
            each: asyncio.create_task(self._query_holder(each, key)) for each in holders
        }
        try:
            for query in asyncio.as_completed(queries.values()):
                answer = await query
                if not is_failure(answer) and answer["pin"] is not None:
                    return SessionPin.from_json(answer["pin"]), []
            return None, [
                each for each, query in queries.items() if is_failure(query.result())
            ]
        finally:
            for query in queries.values():
                query.cancel()

    async def _query_holder(self, holder, key):
        message = {"key": key}
        return await self._client.ask(
            holder.address, FIND_TOPIC, message, PIN_TIMEOUT_MS
        )

    async def _store_at_holders(self, pin):
        """Store one pin at its holders; `run` retries the sends that fail.

        For some time after a change of membership the pin is also sent to the
        fallbacks, where instances that don't know of the change would look.
        """
        holders = self._ranking.holders(pin.key)
        if not self._is_stable():
            holders = [*holders, *self._ranking.fallbacks(pin.key)]
        is_holder = any(each.name == self._local_name for each in holders)
        others = [each for each in holders if each.name != self._local_name]
        if is_holder or not others:
            self.store.put(pin)
        results = await asyncio.gather(
            *(self._send_pins(each, [pin], PIN_TIMEOUT_MS) for each in others)
        )
        if not all(results):
            self.store.put(pin)
            self._unplaced_keys.add(pin.key)

    async def _store_unplaced(self):
        """Send every unplaced pin to its holders, in batches by holder."""
        keys, self._unplaced_keys = self._unplaced_keys, set()
        pins_by_name = {}
        for key in keys:
            pin = self.store.get_pin(key)
            if pin is None:
                continue
            for holder in self._ranking.holders(key):
                if holder.name != self._local_name:
                    pins_by_name.setdefault(holder.name, []).append(pin)
        failed_by_holder = await asyncio.gather(
            *(self._send_batches(name, pins) for name, pins in pins_by_name.items())
        )
        failed = {key for keys in failed_by_holder for key in keys}
        self._unplaced_keys |= failed
        for key in keys - failed:
            self._retired_ms_by_key.setdefault(key, self._clock.now_ms())

    def _discard_retired(self):
        """Discard pins handed over more than `STABLE_AFTER_MS` ago.

        By then all instances know the new holders.
        """
        now_ms = self._clock.now_ms()
        for key, retired_ms in list(self._retired_ms_by_key.items()):
            names = self._ranking.holder_names(key)
            if not names or self._local_name in names:
                del self._retired_ms_by_key[key]
            elif now_ms - retired_ms > STABLE_AFTER_MS:
                del self._retired_ms_by_key[key]
                self.store.discard(key)

    async def _send_batches(self, name, pins):
        """Return the keys of the pins that could not be sent to a holder."""
        holder = self._ranking.by_name[name]
        failed = []
        for start in range(0, len(pins), HAND_OVER_BATCH_PINS):
            batch = pins[start : start + HAND_OVER_BATCH_PINS]
            if not await self._send_pins(holder, batch, HAND_OVER_TIMEOUT_MS):
                failed.extend(pin.key for pin in batch)
        return failed

    async def _send_pins(self, holder, pins, timeout_ms):
        message = {"pins": [pin.to_json() for pin in pins]}
        answer = await self._client.ask(holder.address, PUT_TOPIC, message, timeout_ms)
        if is_failure(answer):
            logger.info(
                "sessions.put-failed", extra={"peer": holder.name, "pins": len(pins)}
            )
            return False
        return True

    async def _handle_find(self, message):
        pin = self.store.get_pin(message["key"])
        return {"pin": None if pin is None else pin.to_json()}

    async def _handle_put(self, message):
        pins = [SessionPin.from_json(each) for each in message["pins"]]
        current_pins = [self.store.put(pin) for pin in pins]
        for pin in current_pins:
            if self._local_name not in self._ranking.holder_names(pin.key):
                self._unplaced_keys.add(pin.key)
        return {"pins": [pin.to_json() for pin in current_pins]}

    def _is_stable(self):
        return self._clock.now_ms() - self._ranking_changed_ms > STABLE_AFTER_MS

    @property
    def _local_name(self):
        return self._members.local.name

    def _current_ranking(self):
        live_names = set(self._members.live_names(ROUTER))
        members = (self._members.local, *self._members.peers(ROUTER))
        return HolderRanking(
            {member.name: member for member in members if member.name in live_names}
        )

    def _spawn(self, work):
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)


def _session_key(request, session_id):
    return pin_key(request.organisation.name, request.service.name, session_id)


def _is_for_request(pin, request):
    return (
        pin.organisation == request.organisation.name
        and pin.service == request.service.name
    )
