"""Keep what the local server states about itself in its answers."""

from flamingobank.sidecar.dialect import ServerFacts
from flamingobank.sidecar.event_log import EventLog
from flamingobank.sidecar.fleet.server_state import AnnouncedServer, Announcement


class ServerNotices:
    """The newest notices of the current server."""

    def __init__(self, server: AnnouncedServer, event_log: EventLog) -> None:
        # Requests per second that the server takes from all callers together; None
        # while it names no limit.
        self.rate_limit_per_s: float | None = None
        self.leaving = False
        self._server = server
        self._event_log = event_log

    def reset(self) -> None:
        """Forget the notices of a previous server."""
        self.rate_limit_per_s = None
        self.leaving = False

    def note(self, sender: Announcement, facts: ServerFacts) -> bool:
        """Note the head of an answer to a request that was sent to `sender`.

        Returns False if the answer may be another process's, and was not noted.
        """
        if facts.misdirected or not (facts.signed or facts.not_run):
            return False
        current = self._server.current
        if (sender.instance, sender.started_ms) != (
            current.instance,
            current.started_ms,
        ):
            return False
        self._note_rate_limit(facts)
        if facts.leaving and not self.leaving:
            self.leaving = True
            self._event_log.event("home:server-leaving", instance=sender.instance)
        return True

    def _note_rate_limit(self, facts: ServerFacts) -> None:
        limit_per_s = facts.rate_limit_per_s
        if limit_per_s is None and facts.names_rate_limit:
            # A limit that cannot be decoded does not revoke an earlier one.
            return
        if limit_per_s == self.rate_limit_per_s:
            return
        self._event_log.event(
            "home:rate-limit", limit_per_s=limit_per_s, before=self.rate_limit_per_s
        )
        self.rate_limit_per_s = limit_per_s
