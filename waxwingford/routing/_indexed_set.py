"""Set of strings with random sampling in constant time."""

import random


class IndexedSet:
    """Unordered set; add, discard and sampling take constant time."""

    def __init__(self) -> None:
        self._names: list[str] = []
        self._index_by_name: dict[str, int] = {}

    def add(self, name: str) -> None:
        """Add a name if absent."""
        if name not in self._index_by_name:
            self._index_by_name[name] = len(self._names)
            self._names.append(name)

    def discard(self, name: str) -> None:
        """Remove a name if present."""
        index = self._index_by_name.pop(name, None)
        if index is None:
            return
        last = self._names.pop()
        if last != name:
            self._names[index] = last
            self._index_by_name[last] = index

    def sample_two(self, rng: random.Random) -> tuple[str, ...]:
        """Sample two distinct names.

        :returns: two names, or all names if there are fewer.
        """
        count = len(self._names)
        if count <= 2:
            return tuple(self._names)
        first = int(rng.random() * count)
        second = int(rng.random() * (count - 1))
        if second >= first:
            second += 1
        return self._names[first], self._names[second]

    def __len__(self) -> int:
        return len(self._names)

    def __contains__(self, name: str) -> bool:
        return name in self._index_by_name
