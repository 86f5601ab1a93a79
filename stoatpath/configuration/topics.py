"""Spreads the configuration in force from member to member."""

from stoatpath.configuration.snapshots import Snapshot


class ConfigurationTopic:
    """Gossips the revision and its age, and the whole snapshot when it is new.

    Wire form: `revision`, `age_ms` since it was known to be the head, and
    `snapshot` for the rounds after a change.
    """

    __slots__ = ("_follower", "_clock", "_sent_revision", "_rounds_left")

    name = "configuration"
    ROUNDS_PER_CHANGE = 12

    def __init__(self, follower, clock):
        self._follower = follower
        self._clock = clock
        self._sent_revision = 0
        self._rounds_left = 0

    def collect(self):
        """Return the revision in force, with the snapshot while it is new."""
        snapshot = self._follower.snapshot
        if snapshot.revision != self._sent_revision:
            self._sent_revision = snapshot.revision
            self._rounds_left = self.ROUNDS_PER_CHANGE
        age_ms = self._clock.now_ms() - self._follower.fresh_as_of_ms
        news = {"revision": snapshot.revision, "age_ms": min(age_ms, 1e12)}
        if self._rounds_left > 0:
            self._rounds_left -= 1
            news["snapshot"] = snapshot.to_json()
        return news

    def merge(self, sender, data):
        """Take a newer snapshot, or fresher knowledge of the same revision."""
        as_of_ms = self._clock.now_ms() - data["age_ms"]
        if data["revision"] == self._follower.snapshot.revision:
            self._follower.offer(self._follower.snapshot, as_of_ms)
        elif "snapshot" in data:
            self._follower.offer(Snapshot.from_json(data["snapshot"]), as_of_ms)
