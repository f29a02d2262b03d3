"""Track the promises that a node has given about its own servers."""

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
    """Servers whose home this node is, with the promises about them."""

    def __init__(self, now: float) -> None:
        self._announcements_valid_from = now
        self._local: dict[InstanceId, LocalServer] = {}

    def find(self, instance: InstanceId) -> LocalServer | None:
        """Return a server that has announced itself to this node, or None."""
        return self._local.get(instance)

    def announce(self, service: ServiceName, instance: InstanceId, now: float) -> None:
        """Record an announcement; those queued during a pause are ignored."""
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
        """Discard the announcements of a server; promises about it stay valid."""
        local = self._local.get(instance)
        if local is not None:
            local.announced_at = -math.inf

    def is_home(self, instance: InstanceId, now: float) -> bool:
        """Return whether the server has recently announced itself to this node."""
        local = self._local.get(instance)
        return local is not None and now - local.announced_at < ANNOUNCEMENT_LIFE_S

    def is_promised(self, instance: InstanceId, now: float) -> bool:
        """Return whether a promise about the server is valid."""
        local = self._local.get(instance)
        if local is None:
            return False
        return any(deadline > now for deadline, _ in local.promises.values())

    def promise(self, request: FloorRequest, now: float) -> None:
        """Promise to keep the target of a request in service for PROMISE_S."""
        promises = self._local[request.target].promises
        key = (request.instance, request.holder, request.epoch)
        _, number = promises.get(key, (0.0, 0))
        promises[key] = (now + PROMISE_S, max(number, request.number))

    def release(self, release: FloorRelease) -> None:
        """End a promise that its holder has released."""
        local = self._local.get(release.target)
        if local is None:
            return
        key = (release.instance, release.holder, release.epoch)
        _, number = local.promises.get(key, (0.0, 0))
        # A release does not end a promise that was given for a later request.
        if number <= release.number:
            local.promises.pop(key, None)

    def list_revocations(self, instance: InstanceId) -> list[FloorRevocation]:
        """Return revocations for all holders of promises about a server."""
        local = self._local[instance]
        return [
            FloorRevocation(local.service, holder_instance, instance, holder)
            for holder_instance, holder, _ in local.promises
        ]

    def expire(self, now: float) -> None:
        """Remove promises whose deadline has passed."""
        for local in self._local.values():
            for key in [k for k, (end, _) in local.promises.items() if end <= now]:
                del local.promises[key]

    def restart_promises(self, now: float) -> None:
        """Restart all promises with their full duration and discard announcements.

        Announcements are ignored until RESUME_GRACE_S has passed.
        """
        self._announcements_valid_from = now + RESUME_GRACE_S
        for local in self._local.values():
            local.announced_at = -math.inf
            for key, (_, number) in local.promises.items():
                local.promises[key] = (now + PROMISE_S, number)
