"""Plans where a request starts and how far it may go up."""

from stoatpath.cascades.messages import Plan, Stage

PRIOR_GOOD = 1.0
PRIOR_BAD = 1.0


class QualityEstimates:
    """Counts of good and bad answers by purpose and version."""

    __slots__ = ("_counts_by_key",)

    def __init__(self):
        self._counts_by_key = {}

    def learn(self, service, purpose, version, is_good):
        """Count one rated answer."""
        counts = self._counts_by_key.setdefault((service, purpose, version), [0, 0])
        counts[0 if is_good else 1] += 1

    def chance_good(self, service, purpose, version):
        """Return the estimated chance that a version's answer is good enough."""
        good, bad = self._counts_by_key.get((service, purpose, version), (0, 0))
        return (good + PRIOR_GOOD) / (good + bad + PRIOR_GOOD + PRIOR_BAD)


class Planner:
    """Starts where expected cost plus the weight of latency is least."""

    __slots__ = ("_estimates",)

    def __init__(self, estimates):
        self._estimates = estimates

    def plan(self, request, versions, seconds_by_version):
        """Return a plan over versions given from cheap to dear.

        `seconds_by_version` holds the expected seconds of each version.
        """
        if not request.is_repeatable:
            return Plan([Stage(versions[-1], None)], "not repeatable: one stage")
        if request.is_stream:
            return self._plan_stream(request, versions)
        best_start = 0
        best_price = float("inf")
        for start in range(len(versions)):
            price = self._price(request, versions[start:], seconds_by_version)
            if price < best_price:
                best_start = start
                best_price = price
        target = request.purpose.quality
        chosen = versions[best_start:]
        stages = [Stage(version, target) for version in chosen[:-1]]
        stages.append(Stage(chosen[-1], None))
        return Plan(stages, f"least expected price {best_price:.4f}")

    def _plan_stream(self, request, versions):
        """Return the cheapest single stage expected to reach the target."""
        for version in versions[:-1]:
            if self._chance(request, version) >= request.purpose.quality:
                return Plan([Stage(version, None)], "stream: cheapest good enough")
        return Plan([Stage(versions[-1], None)], "stream: dearest")

    def _price(self, request, versions, seconds_by_version):
        price = 0.0
        reach = 1.0
        weight = request.service.objective.latency_weight
        for version in versions:
            price += reach * version.cost
            price += reach * weight * seconds_by_version.get(version.name, 0.0)
            reach *= 1 - self._chance(request, version)
        return price

    def _chance(self, request, version):
        return self._estimates.chance_good(
            request.service.name, request.purpose.name, version.name
        )
