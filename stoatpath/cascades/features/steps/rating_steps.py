"""Steps for ratings, and for cascades of a whole site."""

import asyncio
import random

import aiohttp
from behave import given, then, when
from plan_steps import CHEAP, add_ratings, use_deployment

from stoatpath.billing.ledgers import read_ledger
from stoatpath.cascades.messages import Plan, RatedAnswer, Stage
from stoatpath.cascades.planners import Planner
from stoatpath.cascades.raters import Rater, RatingRequest
from stoatpath.clock import Clock
from stoatpath.outcomes import PLATFORM_UNAVAILABLE, Failure
from stoatpath.services.tables import Table
from stoatpath.standins.faults import Fault
from stoatpath.standins.sites import Site
from stoatpath.tools.demonstrations import Demonstration, chat
from stoatpath.utils import encode_json

SECRET = "reef-villages.reef-villages-sample-secret"


@given("a version that was rated {rating:g} {count:d} times")
def step_impl(context, rating, count):
    use_deployment(context, "coral-coast", "guest-question")
    add_ratings(context, CHEAP, rating, count)


@when("it is rated {rating:g} {count:d} times more")
def step_impl(context, rating, count):
    add_ratings(context, CHEAP, rating, count)


@when("it is rated {rating:g} {count:d} times more as a later stage")
def step_impl(context, rating, count):
    add_ratings(context, CHEAP, rating, count, is_escalated=True)


def _chance(context):
    estimate = context.estimates.quality(
        context.deployment.service, context.purpose, context.by_role[CHEAP]
    )
    return estimate.chance_good(context.now_ms)


@then("the probability that it reaches the target is under {bound:g}")
def step_impl(context, bound):
    assert _chance(context) < bound, _chance(context)


@then("the probability that it reaches the target is over {bound:g}")
def step_impl(context, bound):
    assert _chance(context) > bound, _chance(context)


class _Ratings:
    """A rating service with a delay or a fault."""

    def __init__(self, score, delay_ms, is_faulty):
        self.calls = 0
        self._score = score
        self._delay_ms = delay_ms
        self._is_faulty = is_faulty

    async def rate(self, request_id, purpose, version, text):
        self.calls += 1
        await asyncio.sleep(self._delay_ms / 1000)
        if self._is_faulty:
            return Failure(PLATFORM_UNAVAILABLE, "down")
        return self._score


class _RatingRecorder:
    """Collects the ratings given to the estimates."""

    def __init__(self):
        self.rated = []

    def record_rating(self, rated, now_ms):
        assert isinstance(rated, RatedAnswer)
        self.rated.append(rated)

    def record_rating_duration(self, seconds):
        assert seconds >= 0


@given("a rating service that answers {score:g} {how}")
def step_impl(context, score, how):
    use_deployment(context, "coral-coast", "guest-question")
    delay_ms = float(how.split()[1]) if how.startswith("after") else 0.0
    context.ratings = _Ratings(score, delay_ms, how == "with a fault")
    context.recorder = _RatingRecorder()


def _rating_request(context):
    return RatingRequest(
        "req-1",
        context.deployment.service,
        context.purpose,
        context.by_role[CHEAP],
        "text",
        context.purpose.quality,
        False,
    )


@when("an answer is rated with {left_ms:g} ms to its deadline")
def step_impl(context, left_ms):
    async def run():
        clock = Clock()
        rater = Rater(context.ratings, context.recorder, clock)
        deadline_ms = clock.now_ms() + left_ms
        context.rating = await rater.rate(_rating_request(context), deadline_ms)
        await rater.wait_until_idle()

    asyncio.run(run())


@then("the rating is {rating}")
def step_impl(context, rating):
    wanted = None if rating == "none" else float(rating)
    assert context.rating == wanted, context.rating


@then("{count:d} ratings are recorded in the end")
def step_impl(context, count):
    assert len(context.recorder.rated) == count


@when("{count:d} answers are to be rated later")
def step_impl(context, count):
    async def run():
        rater = Rater(context.ratings, context.recorder, Clock())
        for _ in range(count):
            rater.start_rating(_rating_request(context))
        await rater.wait_until_idle()

    asyncio.run(run())


@then("the rating service was called {count:d} times")
def step_impl(context, count):
    assert context.ratings.calls == count, context.ratings.calls


@given(
    "a site whose cheap answers are rated {cheap:g} and expensive ones {expensive:g}"
)
def step_impl(context, cheap, expensive):
    use_deployment(context, "coral-coast", "guest-question")
    context.qualities = {"tern-small": cheap, "tern-large": expensive}
    context.expensive_fault = None


@given("every expensive engine answers with an error")
def step_impl(context):
    context.expensive_fault = Fault("complete", "error-after", count=None)


class _CheapestFirstPlanner(Planner):
    """Plans all versions in ascending order of cost."""

    __slots__ = ()

    def plan(self, query, versions, now_ms):
        target = query.purpose.quality
        return Plan([Stage(version, target) for version in versions], "test")


async def _send_question(context, site):
    router = next(iter(site.routers_by_name.values()))
    router.planner = _CheapestFirstPlanner(router.estimates, random.Random(1))
    url = f"http://{router.address}/v1/chat/completions"
    headers = {"Authorization": f"Bearer {SECRET}"}
    body = encode_json(chat("desk-assist", "When is high tide?"))
    async with aiohttp.ClientSession(headers=headers) as session:
        async with session.post(url, data=body) as response:
            context.status = response.status
            context.version = response.headers["Stoatpath-Version"]
            context.answer = await response.json()


@when("a guest question is asked that starts on the cheap version")
def step_impl(context):
    async def run():
        site = Site()
        await site.start(routers=1)
        try:
            for name, engine in site.engines_by_name.items():
                for model, quality in context.qualities.items():
                    if model in name:
                        engine.quality_by_version = {f"{model}@1": quality}
                if "tern-large" in name and context.expensive_fault is not None:
                    engine.faults.add(context.expensive_fault)
            await Demonstration(site).submit_samples()
            await _send_question(context, site)
            for router in site.routers_by_name.values():
                await router.outbox.flush()
            table = Table.from_url(site.settings("check", "zone-a").table_url)
            context.ledger = await read_ledger(table)
            await table.close()
        finally:
            await site.stop()

    asyncio.run(run())


@then("it is answered by the cheap version")
def step_impl(context):
    assert context.status == 200
    assert context.version == "tern-small@1", context.version
    assert context.answer["model"] == "tern-small@1"


def _billed_versions(context):
    (record,) = context.ledger
    return [stage["version"] for stage in record["stages"]]


@then("the ledger holds the cheap and the expensive stage")
def step_impl(context):
    assert _billed_versions(context) == [
        "tern-small@1",
        "tern-large@1",
    ], _billed_versions(context)


@then("the ledger holds the cheap stage alone")
def step_impl(context):
    assert _billed_versions(context) == ["tern-small@1"], _billed_versions(context)
