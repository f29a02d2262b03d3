"""Keep the promises that a node has given about its own servers."""

import math

from flamingobank.core import InstanceId, ServiceName
from flamingobank.health.floor_messages import (
    FloorRelease,
    FloorRequest,
    FloorRevocation,
)
from flamingobank.health.floor_records import (
    ANNOUNCEMENT_LIFE_S,
    PROMISE_S,
    QUIET_PERIOD_S,
    RESUME_GRACE_S,
    LocalServer,
)


class GrantedPromises:
    """Hold the servers whose home this node is, and who counts on them."""

    def __init__(self, now: float) -> None:
        self._announcements_valid_from = now
        self._local: dict[InstanceId, LocalServer] = {}

    def find(self, instance: InstanceId) -> LocalServer | None:
        """Return a server that has announced itself here."""
        return self._local.get(instance)

    def announce(self, service: ServiceName, instance: InstanceId, now: float) -> None:
        """Note an announcement; those that queued up in a pause do not count."""
        if now < self._announcements_valid_from:
            return
        local = self._local.get(instance)
        if local is None or local.service != service:
            local = LocalServer(service, now, now + QUIET_PERIOD_S)
            self._local[instance] = local
        if not self.is_home(instance, now):
            local.quiet_until = now + QUIET_PERIOD_S
        local.announced_at = now

    def remove(self, instance: InstanceId) -> None:
        """Forget the announcements of a server; promises given stay in force."""
        local = self._local.get(instance)
        if local is not None:
            local.announced_at = -math.inf

    def is_home(self, instance: InstanceId, now: float) -> bool:
        """Tell whether the server has announced itself here recently."""
        local = self._local.get(instance)
        return local is not None and now - local.announced_at < ANNOUNCEMENT_LIFE_S

    def is_promised(self, instance: InstanceId, now: float) -> bool:
        """Tell whether another home counts on the server."""
        local = self._local.get(instance)
        if local is None:
            return False
        return any(deadline > now for deadline, _ in local.promises.values())

    def promise(self, request: FloorRequest, now: float) -> None:
        """Keep the request's target in service for PROMISE_S."""
        promises = self._local[request.target].promises
        key = (request.instance, request.holder, request.epoch)
        _, number = promises.get(key, (0.0, 0))
        promises[key] = (now + PROMISE_S, max(number, request.number))

    def release(self, release: FloorRelease) -> None:
        """End a promise that its holder no longer needs."""
        local = self._local.get(release.target)
        if local is None:
            return
        key = (release.instance, release.holder, release.epoch)
        _, number = local.promises.get(key, (0.0, 0))
        # A promise given for a later request outlives an older release.
        if number <= release.number:
            local.promises.pop(key, None)

    def list_revocations(self, instance: InstanceId) -> list[FloorRevocation]:
        """Return what to tell those who count on a server that has left."""
        local = self._local[instance]
        return [
            FloorRevocation(local.service, holder_instance, instance, holder)
            for holder_instance, holder, _ in local.promises
        ]

    def expire(self, now: float) -> None:
        """Forget promises whose deadline has passed."""
        for local in self._local.values():
            for key in [k for k, (end, _) in local.promises.items() if end <= now]:
                del local.promises[key]

    def restart_promises(self, now: float) -> None:
        """Make promises last their full time again and distrust announcements."""
        self._announcements_valid_from = now + RESUME_GRACE_S
        for local in self._local.values():
            local.announced_at = -math.inf
            for key, (_, number) in local.promises.items():
                local.promises[key] = (now + PROMISE_S, number)
