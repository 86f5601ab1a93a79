"""The task that finds, keeps and hands over the pins of sessions."""

import asyncio
import logging

from stoatpath.outcomes import SESSION_UNKNOWN, Failure, is_failure
from stoatpath.sessions.holders import HolderRing
from stoatpath.sessions.messages import Lookup
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
HAND_OVER_BATCH = 500
PINS_PER_TURN = 20
STABLE_AFTER_MS = 15_000


class PinDirectory:
    """Pins of all sessions, held in memory at two instances each.

    `archive` keeps pins that a roll-out could change; `signer` signs tokens.
    Wire forms: `pins.find` takes `key` and answers `pin`, or null; `pins.put`
    takes `pins` and answers with the ones that stand.
    """

    __slots__ = (
        "store",
        "_signer",
        "_archive",
        "_members",
        "_client",
        "_clock",
        "_ring",
        "_changed_ms",
        "_unplaced",
        "_retired_ms_by_key",
        "_tasks",
        "_period",
    )

    def __init__(self, node, signer, archive):
        self.store = PinStore()
        self._signer = signer
        self._archive = archive
        self._members = node.members
        self._client = node.peer_client
        self._clock = node.clock
        self._ring = HolderRing({})
        self._changed_ms = self._clock.now_ms()
        self._unplaced = set()
        self._retired_ms_by_key = {}
        self._tasks = set()
        self._period = HAND_OVER_PERIOD_MS
        node.peer_server.register(FIND_TOPIC, self._answer_find)
        node.peer_server.register(PUT_TOPIC, self._answer_put)

    async def run(self):
        """Follow the membership and hand pins over until cancelled."""
        while True:
            started_ms = self._clock.now_ms()
            await self.hand_over()
            await self._clock.sleep_until(started_ms + self._period)

    async def find(self, request):
        """Return the pin of the session of a caller request, None, or a failure.

        A session whose holders are all silent is refused for the few seconds
        until they count as dead, rather than moved.
        """
        if not request.session:
            return None
        if is_token(request.session):
            pin = self._signer.read(request.session)
            return pin if pin is not None and _belongs(pin, request) else None
        key = _key(request, request.session)
        lookup = await self._look_up(key)
        if lookup.pin is not None:
            return lookup.pin
        pin = await self._archive.find(request.service, key, lookup.is_certain)
        if pin is None and lookup.is_blind:
            return Failure(SESSION_UNKNOWN, "no holder of the session answered")
        return pin

    def prepare(self, request, pin, version):
        """Return the pin that keeps a session on a version."""
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
        """Return the signed token of a pin."""
        return self._signer.sign(pin)

    def announce(self, request, pin, version, moved, stream):
        """Tell a stream's caller the version and session before the first event."""
        token = ""
        if request.session:
            kept = self.prepare(request, pin, version)
            token = self.token(kept)
            if kept is not pin:
                self._spawn(self.keep(request, pin, kept))
        stream.set_version_headers(version, token, moved)

    async def keep(self, request, pin, kept):
        """Have the holders keep a pin, unless it stands there already.

        A caller that sends tokens needs no holder.
        """
        if kept is pin or (is_token(request.session) and kept.sequence == 1):
            return
        self._archive.add(kept)
        await self._place(kept)

    async def hand_over(self):
        """Take the membership as it stands; bring each pin to its holders."""
        ring = self._current_ring()
        if ring.signature != self._ring.signature:
            old, self._ring = self._ring, ring
            self._changed_ms = self._clock.now_ms()
            for index, pin in enumerate(self.store.pins()):
                if index % PINS_PER_TURN == 0:
                    await asyncio.sleep(0)
                if old.incarnations(pin.key) != ring.incarnations(pin.key):
                    self._unplaced.add(pin.key)
        if self._unplaced:
            await self._place_all()
        self._drop_retired()

    async def leave(self):
        """Hand every pin to the instances that stay; return how many could not be."""
        await self.hand_over()
        self._unplaced = {pin.key for pin in self.store.pins()}
        await self._place_all()
        return len(self._unplaced)

    def needs_hand_over(self):
        """Return whether there are pins, and others that may take them."""
        return len(self.store) > 0 and bool(self._current_ring().by_name)

    async def close(self):
        """End what is still under way."""
        await cancel_and_wait(list(self._tasks))

    async def _look_up(self, key):
        own = self.store.find(key)
        holders = self._ring.holders(key)
        is_holder = any(each.name == self._own_name for each in holders)
        if own is not None and is_holder:
            return Lookup(own, True)
        others = [each for each in holders if each.name != self._own_name]
        found, silent = await self._ask_all(key, others)
        if found is None and silent:
            found, silent = await self._ask_all(key, silent)
        if found is not None or own is not None:
            return Lookup(found or own, True)
        if not silent and self._is_stable():
            return Lookup(None, True)
        found, _ = await self._ask_all(key, self._ring.fallbacks(key))
        is_blind = not is_holder and 0 < len(others) == len(silent)
        return Lookup(found, False, is_blind)

    async def _ask_all(self, key, holders):
        """Return the first pin that a holder knows, and who did not answer."""
        asks = {each: asyncio.create_task(self._ask(each, key)) for each in holders}
        try:
            for ask in asyncio.as_completed(asks.values()):
                answer = await ask
                if not is_failure(answer) and answer["pin"] is not None:
                    return SessionPin.from_json(answer["pin"]), []
            return None, [
                each for each, ask in asks.items() if is_failure(ask.result())
            ]
        finally:
            for ask in asks.values():
                ask.cancel()

    async def _ask(self, holder, key):
        message = {"key": key}
        return await self._client.ask(
            holder.address, FIND_TOPIC, message, PIN_TIMEOUT_MS
        )

    async def _place(self, pin):
        """Put one pin at its holders; what fails is tried again by the task.

        After a change of membership, also at those whom instances that have not
        heard of the change would ask.
        """
        holders = self._ring.holders(pin.key)
        if not self._is_stable():
            holders = [*holders, *self._ring.fallbacks(pin.key)]
        is_holder = any(each.name == self._own_name for each in holders)
        others = [each for each in holders if each.name != self._own_name]
        if is_holder or not others:
            self.store.put(pin)
        results = await asyncio.gather(
            *(self._put(each, [pin], PIN_TIMEOUT_MS) for each in others)
        )
        if not all(results):
            self.store.put(pin)
            self._unplaced.add(pin.key)

    async def _place_all(self):
        """Send every unplaced pin to its holders, in batches by holder."""
        keys, self._unplaced = self._unplaced, set()
        pins_by_name = {}
        for key in keys:
            pin = self.store.find(key)
            if pin is None:
                continue
            for holder in self._ring.holders(key):
                if holder.name != self._own_name:
                    pins_by_name.setdefault(holder.name, []).append(pin)
        placed = await asyncio.gather(
            *(self._put_batches(name, pins) for name, pins in pins_by_name.items())
        )
        failed = {key for keys in placed for key in keys}
        self._unplaced |= failed
        for key in keys - failed:
            self._retired_ms_by_key.setdefault(key, self._clock.now_ms())

    def _drop_retired(self):
        """Forget pins that others have held for so long that all know of it."""
        now_ms = self._clock.now_ms()
        for key, retired_ms in list(self._retired_ms_by_key.items()):
            names = self._ring.names(key)
            if not names or self._own_name in names:
                del self._retired_ms_by_key[key]
            elif now_ms - retired_ms > STABLE_AFTER_MS:
                del self._retired_ms_by_key[key]
                self.store.discard(key)

    async def _put_batches(self, name, pins):
        """Return the keys of the pins that a holder did not take."""
        holder = self._ring.by_name[name]
        failed = []
        for start in range(0, len(pins), HAND_OVER_BATCH):
            batch = pins[start : start + HAND_OVER_BATCH]
            if not await self._put(holder, batch, HAND_OVER_TIMEOUT_MS):
                failed.extend(pin.key for pin in batch)
        return failed

    async def _put(self, holder, pins, timeout_ms):
        message = {"pins": [pin.to_json() for pin in pins]}
        answer = await self._client.ask(holder.address, PUT_TOPIC, message, timeout_ms)
        if is_failure(answer):
            logger.info(
                "sessions.put-failed", extra={"peer": holder.name, "pins": len(pins)}
            )
            return False
        return True

    async def _answer_find(self, message):
        pin = self.store.find(message["key"])
        return {"pin": None if pin is None else pin.to_json()}

    async def _answer_put(self, message):
        pins = [SessionPin.from_json(each) for each in message["pins"]]
        standing = [self.store.put(pin) for pin in pins]
        for pin in standing:
            if self._own_name not in self._ring.names(pin.key):
                self._unplaced.add(pin.key)
        return {"pins": [pin.to_json() for pin in standing]}

    def _is_stable(self):
        return self._clock.now_ms() - self._changed_ms > STABLE_AFTER_MS

    @property
    def _own_name(self):
        return self._members.local.name

    def _current_ring(self):
        live_names = set(self._members.live_names(ROUTER))
        members = (self._members.local, *self._members.peers(ROUTER))
        return HolderRing(
            {member.name: member for member in members if member.name in live_names}
        )

    def _spawn(self, work):
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)


def _key(request, session_id):
    return pin_key(request.organisation.name, request.service.name, session_id)


def _belongs(pin, request):
    return (
        pin.organisation == request.organisation.name
        and pin.service == request.service.name
    )
