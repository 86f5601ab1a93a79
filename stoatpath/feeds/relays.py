"""Keeps the copies of all tables up to date, from another instance or the store.

Reading the store has a price for each call, so one instance reads it and the others
copy its tables along a tree (see `feeds.sources`). Every copy is dated by the store's
answer behind it, not by when it was passed on. The followers of an instance that does
not answer, or whose reads of the store are not answered, select another source. Those
below wait for them. The first instance of each zone reads the store itself if its
copies are not confirmed in time, and the others later, one after the other.
"""

import asyncio
import logging

from stoatpath.feeds.copies import NEVER_MS
from stoatpath.feeds.messages import TablesAnswer, TablesRequest, TableUpdate
from stoatpath.membership.messages import LEAVING
from stoatpath.outcomes import CONNECT_FAILED, Failure, is_failure
from stoatpath.platform.row_stores import era_of

logger = logging.getLogger(__name__)

TABLES_TOPIC = "tables"
# Value of `confirmed_by` if the store itself confirmed the tables.
STORE = "store"
# Shares of the bound on the time from a change in the store to its effect everywhere.
# The reader's polls confirm the tables each `POLL_SHARE`. An instance without a
# confirmation asks what its source expects after `RESELECT_SHARE`; each level of the
# tree waits a little longer, so that a new source of the level above can provide it
# first. The first of each zone reads the store after the same time, the others after
# `DIRECT_SHARE` and up to `SPREAD_SHARE` more: higher ones in the tree begin, so that
# most others have the copies from them before their own turn. While newer rows are on
# their way, it waits until `ARRIVING_SHARE`, as a second transfer would slow down the
# first. The rest of the bound is left for that read.
POLL_SHARE = 0.2
RESELECT_SHARE = 0.35
RESELECT_SHARE_PER_LEVEL = 0.05
DIRECT_SHARE = 0.6
SPREAD_SHARE = 0.1
ARRIVING_SHARE = 0.75
# Time without an answer of the store, beyond the time that it may wait, after which
# followers do not expect news of a reader. A slow store takes up to 240 ms.
UNANSWERED_SHARE = 0.15
# Time after the last sign of arriving bytes for which more are expected.
ARRIVAL_SILENCE_SHARE = 0.2
# Time until an answer begins beyond the time that its sender may wait, as a share. A
# large one may take `TRANSFER_SHARE` to arrive: 470 KB on a link of 10 Mbit/s that two
# transfers share take 750 ms.
TRAVEL_SHARE = 0.1
TRANSFER_SHARE = 0.6
# An instance that heard of a newer version asks for it elsewhere after this share, and
# at most so often for one version.
CATCH_UP_SHARE = 0.1
MAX_CATCH_UPS = 8
# Instances that are asked before the store is read. One without news costs a round
# trip only.
ASKED_BEFORE_READ = 3
# Time that any other instance may wait which is asked instead of the source.
AROUND_SHARE = 0.1
MIN_HOLD_MS = 50.0
MAX_HOLD_MS = 5_000.0
RESELECT_PERIOD_MS = 500.0
JOIN_CHECK_PERIOD_MS = 25.0
CHECK_PERIOD_MS = 100.0
FAILURE_PAUSE_MS = 50.0
# Longest pauses between reads in an outage: the first instance tells the others when
# the store is back.
FIRST_BACKOFF_CAP_MS = 400.0
OTHERS_BACKOFF_CAP_MS = 3_000.0


class TableRelay:
    """Follows a source, answers followers, and decides when to read the store.

    `source` is the member that is followed, None for the first instance, which reads
    the store. `confirmed_by` names the instance that confirmed the tables last, or is
    `STORE`. `relayed_answers` counts the answers of other instances. `behind_since_ms`
    is the clock reading since which this instance knows of a newer version of the lead
    table than its own, or None. `change_delay_ms` is the time from the store's first
    answer with the last change of that table until it was in force here, or None.

    `followers_by_table` are the `TableFollower`s, in the order in which updates are
    applied. The confirmations of the table `lead` count for the whole. `bound_ms` is
    the time within which each change must be known. `sessions` are `SharedSessions`,
    which travel with the tables in both directions. Until `first_read_ms`, a clock
    reading, the store is not read, so that instances which start together find each
    other. `fleet_loads` are `FleetLoads`, which travel in the same messages, or None.
    `on_era_change` is called when another instance tells of a later era of the
    store, before its rows are applied.
    """

    __slots__ = (
        "source",
        "is_reading_store",
        "relayed_answers",
        "confirmed_by",
        "_followers_by_table",
        "_lead_table",
        "_lead",
        "_bound_ms",
        "_first_read_ms",
        "_selector",
        "_members",
        "_client",
        "_reachability",
        "_clock",
        "_random",
        "_sessions",
        "_source_sessions_digest",
        "_disabled_tables",
        "_asked_name",
        "_asks_any",
        "_avoided_zone",
        "_news",
        "_store_due_ms",
        "_arriving_until_ms",
        "_was_store_overdue",
        "_heard",
        "_newest_version",
        "behind_since_ms",
        "change_delay_ms",
        "_last_changed_store_ms",
        "on_era_change",
        "fleet_loads",
    )

    def __init__(
        self,
        followers_by_table,
        lead,
        bound_ms,
        first_read_ms,
        selector,
        members,
        client,
        server,
        reachability,
        clock,
        random,
        sessions,
    ):
        self.source = None
        self.is_reading_store = False
        self.relayed_answers = 0
        self.confirmed_by = ""
        self._followers_by_table = followers_by_table
        self._lead_table = lead
        self._lead = followers_by_table[lead]
        self._bound_ms = bound_ms
        self._first_read_ms = first_read_ms
        self._selector = selector
        self._members = members
        self._client = client
        self._reachability = reachability
        self._clock = clock
        self._random = random
        self._sessions = sessions
        self._source_sessions_digest = ""
        self._disabled_tables = set()
        self._asked_name = None
        self._asks_any = False
        self._avoided_zone = members.local.zone
        self._news = asyncio.Event()
        self._store_due_ms = NEVER_MS
        self._arriving_until_ms = NEVER_MS
        self._was_store_overdue = False
        self._heard = asyncio.Event()
        self._newest_version = 0
        self.behind_since_ms = None
        self.change_delay_ms = None
        self._last_changed_store_ms = NEVER_MS
        self.on_era_change = lambda era: None
        self.fleet_loads = None
        server.register(TABLES_TOPIC, self._handle_request)
        for follower in followers_by_table.values():
            follower.is_enabled.clear()
            follower.on_answer = self._handle_store_answer
            follower.on_failure = self._update_followers
            follower.on_progress = self._record_store_progress

    def set_bound(self, bound_ms):
        """Set the time within which each change must be known."""
        self._bound_ms = bound_ms

    def set_enabled(self, table, is_enabled):
        """Set whether a table is read from the store at all."""
        if is_enabled:
            self._disabled_tables.discard(table)
        else:
            self._disabled_tables.add(table)
        self._update_followers()

    def announce_leaving(self):
        """Answer all held requests, so that their senders select another source."""
        self._notify_followers()

    async def run(self):
        """Keep the copies up to date until cancelled."""
        async with asyncio.TaskGroup() as tasks:
            tasks.create_task(self._watch_age())
            tasks.create_task(self._run_steps())
            tasks.create_task(self._catch_up())

    async def _run_steps(self):
        while True:
            await self.step()

    async def step(self):
        """Ask the source once, or read the store as the first instance."""
        now_ms = self._clock.now_ms()
        if self._is_cut_off():
            await self._ask_around(now_ms)
            return
        source = self._selector.select(now_ms)
        if self.fleet_loads is not None:
            self.fleet_loads.is_first = source is None
        if source is None and now_ms < self._first_read_ms:
            await self._clock.sleep_until(now_ms + JOIN_CHECK_PERIOD_MS)
            return
        if source is None:
            if self.source is not None or not self.is_reading_store:
                self._set_source(None, "no other instance ranks higher")
            await self._clock.sleep_until(now_ms + RESELECT_PERIOD_MS)
            return
        if self.source is None or self.source.name != source.name:
            self._set_source(source, "it ranks higher")
        if await self._follow(source, now_ms):
            self._set_reading_store(False)

    def _is_cut_off(self):
        """Return whether neither a source nor the store has confirmed the tables."""
        is_late = self.copy_age_ms() >= RESELECT_SHARE * self._bound_ms
        return is_late and self._is_store_overdue()

    def _is_store_overdue(self):
        """Return whether this instance reads the store and has no answer in time."""
        is_out = self._reachability.outage_start_ms is not None
        is_due = self._clock.now_ms() >= self._store_due_ms
        return self.is_reading_store and (is_out or is_due)

    def _record_store_progress(self):
        """Record that bytes of an answer of the store arrive."""
        self._extend_store_due()
        self._record_progress()

    def _extend_store_due(self, wait_ms=0.0):
        limit_ms = wait_ms + UNANSWERED_SHARE * self._bound_ms
        self._store_due_ms = max(self._store_due_ms, self._clock.now_ms() + limit_ms)

    def _record_progress(self):
        """Record that bytes of newer rows are on their way here."""
        limit_ms = ARRIVAL_SILENCE_SHARE * self._bound_ms
        self._arriving_until_ms = self._clock.now_ms() + limit_ms

    def _is_arriving(self):
        return self._clock.now_ms() < self._arriving_until_ms

    def _expects_news(self):
        """Return whether the source or the store may still confirm the tables."""
        return self.source is not None or not self._is_store_overdue()

    async def _ask_around(self, now_ms):
        """Ask the source and any other instance in turn, whoever has news first."""
        self._asks_any = not self._asks_any
        source = self._selector.select_regardless()
        if source is None or self._asks_any:
            source = self._select_any(now_ms)
        if source is None:
            await self._clock.sleep_until(now_ms + RESELECT_PERIOD_MS)
            return
        hold_ms = AROUND_SHARE * self._bound_ms
        if not await self._ask_member(source, now_ms, hold_ms):
            # One that expects no news itself answers at once.
            await self._clock.sleep_until(now_ms + hold_ms)

    def _select_any(self, now_ms):
        return self._selector.select_any(now_ms, self._random, self._avoided_zone)

    async def _ask_member(self, member, now_ms, hold_ms):
        """Ask a member; return whether it confirms the tables more recently."""
        self._avoided_zone = member.zone
        answer = await self._ask(member, now_ms, hold_ms)
        if is_failure(answer):
            self._reject_source(member, answer.detail)
            await self._clock.sleep_until(self._clock.now_ms() + FAILURE_PAUSE_MS)
            return False
        is_newer = self._apply(member, answer, now_ms)
        if is_newer:
            logger.info("tables.news", extra={"source": member.name})
        return is_newer

    async def _follow(self, source, now_ms):
        """Ask a source once; return whether it confirms the tables more recently."""
        is_new = source.name != self._asked_name
        self._asked_name = source.name
        answer = await self._ask(
            source, now_ms, 0.0 if is_new else self._hold_ms(now_ms)
        )
        if is_failure(answer):
            self._reject_source(source, answer.detail)
            await self._clock.sleep_until(self._clock.now_ms() + FAILURE_PAUSE_MS)
            return False
        if self._is_behind(answer, is_new):
            self._reject_source(source, "it is behind")
            await self._clock.sleep_until(self._clock.now_ms() + FAILURE_PAUSE_MS)
            return False
        is_newer = self._apply(source, answer, now_ms)
        expects_news = answer.expects_news
        if expects_news is None:
            expects_news = is_new or not self._is_source_overdue()
        if not is_newer and not expects_news:
            self._reject_source(source, "it has no newer confirmation")
        elif answer.is_leaving:
            self._reject_source(source, "it is leaving")
        return is_newer

    async def _ask(self, source, now_ms, hold_ms):
        """Return the `TablesAnswer` of a source, or a failure."""
        request = TablesRequest(
            {
                table: follower.copy.version
                for table, follower in self._followers_by_table.items()
                if follower.copy.is_known
            },
            self._lead.copy.confirmed_store_ms,
            hold_ms,
            self._sessions.digest(),
            self._sessions_unless(self._source_sessions_digest),
            newest_version=self.newest_version,
            loads=self.fleet_loads and self.fleet_loads.build_report(now_ms),
        )
        answer = await self._client.ask(
            source.address,
            TABLES_TOPIC,
            request.to_json(),
            hold_ms + TRAVEL_SHARE * self._bound_ms,
            hold_ms + TRANSFER_SHARE * self._bound_ms,
            self._record_progress,
        )
        self._arriving_until_ms = NEVER_MS
        if is_failure(answer):
            return answer
        try:
            answer = TablesAnswer.from_json(answer)
            if answer.is_arriving:
                self._record_progress()
            self._sessions.merge(answer.sessions or {})
            self._source_sessions_digest = answer.sessions_digest
            if self.fleet_loads is not None:
                self.fleet_loads.receive_answer(answer.loads, self._clock.now_ms())
            return answer
        except ValueError as error:
            return Failure(CONNECT_FAILED, str(error))

    def _is_behind(self, answer, is_new):
        """Return whether the source's copy is older than this one by over one poll.

        A source that expects news may be older until it reads the store itself. Of one
        that does not tell its age, only the first answer counts.
        """
        if not self._lead.copy.is_known:
            return False
        if answer.age_ms is not None:
            share = DIRECT_SHARE + SPREAD_SHARE if answer.expects_news else POLL_SHARE
            lag_ms = answer.age_ms - self.copy_age_ms()
            return lag_ms > share * self._bound_ms
        if not is_new:
            return False
        update = answer.updates_by_table.get(self._lead_table)
        limit_ms = self._lead.copy.confirmed_store_ms - POLL_SHARE * self._bound_ms
        return update is None or update.confirmed_store_ms < limit_ms

    def _is_source_overdue(self):
        return self._clock.now_ms() >= self._dated_ms() + self._reselect_after_ms()

    def _dated_ms(self):
        """Return the reading from which the age of the copies counts."""
        if not self._lead.copy.is_known:
            return self._first_read_ms
        return self._lead.copy.confirmed_ms

    def _hold_ms(self, now_ms):
        """Return how long the source may wait before it answers without news."""
        full_ms = RESELECT_SHARE * self._bound_ms
        due_ms = self._dated_ms() + self._reselect_after_ms()
        if self.is_reading_store:
            due_ms = max(due_ms, self._store_due_ms)
        elif now_ms >= due_ms:
            # An answer just before tells whether newer rows are on their way.
            due_ms = self._direct_due_ms() - MIN_HOLD_MS
        left_ms = max(MIN_HOLD_MS, due_ms - now_ms)
        return min(full_ms, left_ms) if self._lead.copy.is_known else left_ms

    def _apply(self, source, answer, sent_ms):
        """Apply an answer; return whether it confirms the tables more recently."""
        self.relayed_answers += 1
        before_store_ms = self._lead.copy.confirmed_store_ms
        self._detect_era_change(answer)
        if self._lead_table in answer.updates_by_table or not self._lead.copy.is_known:
            # An older copy may go with the clock of an earlier era.
            self._reachability.record_relayed_answer(sent_ms, answer)
        for table, follower in self._followers_by_table.items():
            update = answer.updates_by_table.get(table)
            if update is not None:
                now_ms = self._clock.now_ms()
                as_of_ms = self._reachability.local_ms(
                    update.confirmed_store_ms, now_ms
                )
                follower.apply_update(update, as_of_ms)
        self._record_change()
        self._hear(answer.newest_version)
        self._end_behind()
        is_newer = self._lead.copy.confirmed_store_ms > before_store_ms
        if is_newer:
            self.confirmed_by = source.name
            self._notify_followers()
        return is_newer

    def _detect_era_change(self, answer):
        update = answer.updates_by_table.get(self._lead_table)
        if update is None or not self._lead.copy.is_known:
            return
        era = era_of(update.version)
        if era > era_of(self._lead.copy.version):
            self.on_era_change(era)

    async def _watch_age(self):
        """Read the store whenever the copies are not confirmed in time."""
        while True:
            due_ms = self._direct_due_ms()
            now_ms = self._clock.now_ms()
            if now_ms >= due_ms:
                if not self.is_reading_store and await self._ask_before_read():
                    continue
                self._set_reading_store(True, "no confirmation in time")
                due_ms = now_ms + CHECK_PERIOD_MS
            if self._is_store_overdue() and not self._was_store_overdue:
                # Followers that wait here select another source at once.
                self._notify_followers()
            self._was_store_overdue = self._is_store_overdue()
            if self.is_reading_store and self._store_due_ms > now_ms:
                due_ms = min(due_ms, self._store_due_ms)
            await self._clock.sleep_until(due_ms)

    @property
    def newest_version(self):
        """The newest version of the lead table that this instance has or heard of."""
        return max(self._newest_version, self._lead.copy.version)

    def _hear(self, version):
        """Record that another instance knows of a version of the lead table."""
        if version > self.newest_version:
            self._newest_version = version
        if self.behind_since_ms is None and version > self._lead.copy.version:
            self.behind_since_ms = self._clock.now_ms()
            self._heard.set()

    def _record_change(self):
        """Record how long a change of the known lead table took, once."""
        before_ms = self._last_changed_store_ms
        changed_store_ms = self._lead.copy.changed_store_ms
        if changed_store_ms == before_ms:
            return
        self._last_changed_store_ms = changed_store_ms
        if before_ms == NEVER_MS:
            return
        now_ms = self._clock.now_ms()
        changed_ms = self._reachability.local_ms(changed_store_ms, now_ms)
        self.change_delay_ms = now_ms - changed_ms
        logger.info(
            "tables.change-in-force",
            extra={
                "version": self._lead.copy.version,
                "after_ms": round(self.change_delay_ms),
            },
        )

    def _end_behind(self):
        if self._lead.copy.version >= self._newest_version:
            self.behind_since_ms = None

    async def _catch_up(self):
        """Ask other instances for a version that this one has heard of."""
        while True:
            await self._heard.wait()
            self._heard.clear()
            for attempt in range(MAX_CATCH_UPS):
                pause_ms = CATCH_UP_SHARE * self._bound_ms
                await self._clock.sleep_until(self._clock.now_ms() + pause_ms)
                if self.behind_since_ms is None:
                    break
                now_ms = self._clock.now_ms()
                if attempt == 0:
                    logger.info(
                        "tables.behind",
                        extra={
                            "version": self._lead.copy.version,
                            "newest": self.newest_version,
                            "behind_ms": round(now_ms - self.behind_since_ms),
                        },
                    )
                member = None if self._is_arriving() else self._select_any(now_ms)
                if member is not None:
                    await self._ask_member(member, now_ms, 0.0)

    async def _ask_before_read(self):
        """Ask some instances before the store; return whether one had news.

        Their answers are compressed, and a tenth as large as the store's.
        """
        if self._selector.is_first_of_zone():
            return False
        start_ms = self._clock.now_ms()
        for _ in range(ASKED_BEFORE_READ):
            now_ms = self._clock.now_ms()
            member = self._select_any(now_ms)
            # The first that does not answer ends it: the read must not wait longer.
            if member is None or now_ms >= start_ms + TRAVEL_SHARE * self._bound_ms:
                return False
            if await self._ask_member(member, now_ms, 0.0):
                return True
        return False

    def _direct_due_ms(self):
        """Return when to read the store unless the copies are confirmed before."""
        share = RESELECT_SHARE
        if not self._selector.is_first_of_zone():
            start = ARRIVING_SHARE if self._is_arriving() else DIRECT_SHARE
            share = start + SPREAD_SHARE * self._selector.read_order()
        return self._dated_ms() + share * self._bound_ms

    def copy_age_ms(self):
        """Return how long ago the tables were confirmed."""
        return self._lead.copy.age_ms(self._clock.now_ms())

    def _reselect_after_ms(self):
        depth = self._selector.depth(self._clock.now_ms())
        share = RESELECT_SHARE + RESELECT_SHARE_PER_LEVEL * max(0, depth - 1)
        return min(share, DIRECT_SHARE) * self._bound_ms

    def _set_source(self, source, reason):
        self.source = source
        name = None if source is None else source.name
        logger.info("tables.source", extra={"source": name, "why": reason})
        if source is None:
            self._set_reading_store(True, reason)

    def _reject_source(self, source, reason):
        self._selector.exclude(source.name, self._clock.now_ms())
        self._asked_name = None
        logger.info(
            "tables.source-rejected",
            extra={
                "source": source.name,
                "why": reason,
                "age_ms": _rounded(self.copy_age_ms()),
            },
        )

    def _set_reading_store(self, is_reading, reason="the source has news again"):
        if is_reading != self.is_reading_store:
            self.is_reading_store = is_reading
            if is_reading:
                self._store_due_ms = NEVER_MS
                self._extend_store_due()
            logger.info(
                "tables.reading-store",
                extra={
                    "is_reading": is_reading,
                    "why": reason,
                    "age_ms": _rounded(self.copy_age_ms()),
                },
            )
        self._update_followers()

    def _update_followers(self):
        is_first = self._selector.select_regardless() is None
        is_out = self._reachability.outage_start_ms is not None
        for table, follower in self._followers_by_table.items():
            follower.backoff_cap_ms = (
                FIRST_BACKOFF_CAP_MS if is_first else OTHERS_BACKOFF_CAP_MS
            )
            # In an outage, reads of one table tell when the store is back.
            is_needed = table not in self._disabled_tables and not (
                is_out and follower is not self._lead
            )
            if self.is_reading_store and is_needed:
                follower.is_enabled.set()
            else:
                follower.is_enabled.clear()

    def _handle_store_answer(self, version):
        """Pass on an answer of the store; detect polls that missed a change."""
        self.confirmed_by = STORE
        self._record_change()
        self._end_behind()
        self._arriving_until_ms = NEVER_MS
        self._extend_store_due(POLL_SHARE * self._bound_ms)
        for follower in self._followers_by_table.values():
            follower.check_version(version, POLL_SHARE * self._bound_ms)
        self._update_followers()
        self._notify_followers()

    def _notify_followers(self):
        self._news.set()
        self._news = asyncio.Event()

    async def _handle_request(self, message):
        request = TablesRequest.from_json(message)
        self._sessions.merge(request.sessions or {})
        self._hear(
            max(
                request.newest_version,
                request.versions_by_table.get(self._lead_table, 0),
            )
        )
        if self.fleet_loads is not None:
            self.fleet_loads.receive_report(request.loads, self._clock.now_ms())
        deadline_ms = self._clock.now_ms() + min(request.wait_ms, MAX_HOLD_MS)
        while not self._has_news(request):
            left_ms = deadline_ms - self._clock.now_ms()
            if left_ms <= 0 or self._is_leaving():
                break
            # Builds from before this field would ask again at once.
            if request.encodings and not self._expects_news():
                break
            try:
                async with asyncio.timeout(left_ms / 1000):
                    await self._news.wait()
            except TimeoutError:
                break
        return self._build_answer(request).to_json(request.encodings)

    def _has_news(self, request):
        if self._lead.copy.confirmed_store_ms > request.confirmed_store_ms:
            return True
        if self._sessions.digest() not in ("", request.sessions_digest):
            return True
        return any(
            follower.copy.is_known
            and follower.copy.version > request.versions_by_table.get(table, -1)
            for table, follower in self._followers_by_table.items()
        )

    def _build_answer(self, request):
        reachability = self._reachability
        outage_end_store_ms = outage_duration_ms = None
        if reachability.outage_end_ms != NEVER_MS:
            outage_end_store_ms = reachability.store_ms(reachability.outage_end_ms)
            outage_duration_ms = reachability.outage_duration_ms
        updates_by_table = {}
        for table, follower in self._followers_by_table.items():
            known_version = request.versions_by_table.get(table)
            is_newer_there = (known_version or 0) > follower.copy.version
            if follower.copy.is_known and not is_newer_there:
                updates_by_table[table] = TableUpdate.from_copy(
                    follower.copy, known_version
                )
        return TablesAnswer(
            reachability.store_ms(self._clock.now_ms()),
            outage_end_store_ms,
            outage_duration_ms,
            self._is_leaving(),
            updates_by_table,
            self._sessions.digest(),
            self._sessions_unless(request.sessions_digest),
            self._expects_news(),
            self._is_arriving(),
            self.copy_age_ms() if self._lead.copy.is_known else None,
            self.newest_version,
            self.fleet_loads
            and self.fleet_loads.build_answer(request.loads, self._clock.now_ms()),
        )

    def _sessions_unless(self, known_digest):
        """Return the wire form of the sessions, or None if the other side has them."""
        return (
            None
            if self._sessions.digest() == known_digest
            else (self._sessions.to_json())
        )

    def _is_leaving(self):
        return self._members.local.state == LEAVING


def _rounded(age_ms):
    return None if age_ms == float("inf") else round(age_ms)
