"""Select services by their labels."""

import sys
from bisect import bisect_left, insort
from collections import OrderedDict

from flamingobank.configuration.messages import Spec
from flamingobank.objects import Operator, Selector

SERVICE_LABEL = "service"
LABEL_PREFIX = "label."
MAX_SELECTIONS = 512


class ServiceIndex:
    """Store the labels of all services and cache the results of recent selectors."""

    def __init__(self) -> None:
        self._labels: dict[str, dict[str, str]] = {}
        self._selections: OrderedDict[Selector, list[str]] = OrderedDict()

    def add(self, name: str, spec: Spec) -> None:
        """Add a service and update the cached selections that it matches."""
        labels = {
            sys.intern(key[len(LABEL_PREFIX) :]): sys.intern(value)
            for key, value in spec.items()
            if key.startswith(LABEL_PREFIX)
        }
        labels[SERVICE_LABEL] = name
        self._labels[name] = labels
        for selector, names in self._selections.items():
            if selector.matches(labels):
                insort(names, name)

    def remove(self, name: str) -> None:
        """Remove a service from the labels and from all cached selections."""
        del self._labels[name]
        for names in self._selections.values():
            position = bisect_left(names, name)
            if position < len(names) and names[position] == name:
                del names[position]

    def select(self, selector: Selector) -> list[str]:
        """Return the names of the services that match a selector, sorted."""
        named = _list_named_services(selector)
        if named is not None:
            return [name for name in named if self._matches(name, selector)]
        names = self._selections.get(selector)
        if names is None:
            names = sorted(
                name
                for name, labels in self._labels.items()
                if selector.matches(labels)
            )
            self._selections[selector] = names
            if len(self._selections) > MAX_SELECTIONS:
                self._selections.popitem(last=False)
        else:
            self._selections.move_to_end(selector)
        return list(names)

    def _matches(self, name: str, selector: Selector) -> bool:
        labels = self._labels.get(name)
        return labels is not None and selector.matches(labels)


def _list_named_services(selector: Selector) -> list[str] | None:
    """Return the services that a selector names, or None if it names none."""
    for term in selector.terms:
        if term.name != SERVICE_LABEL:
            continue
        if term.operator in (Operator.EQUALS, Operator.IN):
            return sorted(set(term.values))
    return None
