"""Define the faults, rate limits and call counters of the store."""

import dataclasses
import enum
from dataclasses import dataclass


class Outage(enum.Enum):
    """How the store is unavailable."""

    NONE = "none"
    # Every call is answered with status 503.
    REFUSE = "refuse"
    # Calls are accepted and never answered; none takes effect.
    HANG = "hang"


@dataclass(slots=True)
class StoreFaults:
    """Faults to inject and limits to enforce, which can change at runtime."""

    outage: str = Outage.NONE.value
    reads_per_s: float = 2000.0
    writes_per_s: float = 400.0
    delay_ms: float = 0.0
    # Upper bound of a random delay in addition to delay_ms, uniform from 0.
    jitter_ms: float = 0.0
    # Share of calls whose response is lost after the call took effect.
    lose_ratio: float = 0.0
    # Number of upcoming writes whose response is lost.
    lose_next: int = 0
    # Number of upcoming reads that return an older version.
    stale_next: int = 0

    def update(self, values: dict[str, object]) -> str:
        """Set fields by name; return an error message, or an empty text on success.

        An invalid field leaves all fields unchanged.
        """
        types = {field.name: type(field.default) for field in dataclasses.fields(self)}
        for name, value in values.items():
            expected = types.get(name)
            if expected is None:
                return f"fault {name!r}: expected one of {', '.join(sorted(types))}"
            if expected is str and value not in [mode.value for mode in Outage]:
                return f"fault {name!r}: got {value!r}, expected none, refuse or hang"
            if expected is not str and not isinstance(value, int | float):
                return f"fault {name!r}: got {value!r}, expected a number"
        for name, value in values.items():
            setattr(self, name, types[name](value))
        return ""


@dataclass(slots=True)
class Counters:
    """Counters of calls; each second of a waiting watch counts as one call."""

    reads: int = 0
    writes: int = 0
    watches: int = 0
    watch_seconds: float = 0.0
    waiting_watches: int = 0
    throttled: int = 0
    refused_away: int = 0
    lost_answers: int = 0


class RateLimiter:
    """Token bucket whose capacity is the calls of one second."""

    def __init__(self) -> None:
        self._tokens: float | None = None
        self._updated_s = 0.0

    def try_acquire(self, rate: float, waiting: int, now: float) -> bool:
        """Return whether a call is allowed at a rate of calls per second.

        Each of the waiting watches uses up one call per second of this rate.
        """
        available_rate = max(0.0, rate - waiting)
        if self._tokens is None:
            self._tokens = available_rate
            self._updated_s = now
        elapsed_s = max(0.0, now - self._updated_s)
        self._updated_s = now
        self._tokens = min(available_rate, self._tokens + elapsed_s * available_rate)
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True
