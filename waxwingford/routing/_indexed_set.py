"""Set with random choice in constant time."""

import random


class IndexedSet:
    """Names in no order; add, discard and choose each take constant time."""

    def __init__(self) -> None:
        """Start empty."""
        self._names: list[str] = []
        self._index_by_name: dict[str, int] = {}

    def add(self, name: str) -> None:
        """Add a name; nothing happens if it is there.

        :param name: what to add.
        """
        if name not in self._index_by_name:
            self._index_by_name[name] = len(self._names)
            self._names.append(name)

    def discard(self, name: str) -> None:
        """Remove a name; nothing happens if it is not there.

        :param name: what to remove.
        """
        index = self._index_by_name.pop(name, None)
        if index is None:
            return
        last = self._names.pop()
        if last != name:
            self._names[index] = last
            self._index_by_name[last] = index

    def sample_two(self, rng: random.Random) -> tuple[str, ...]:
        """Draw two different names.

        :param rng: source of chance.
        :returns: two names, or as many as there are.
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
        """Count the names.

        :returns: the count.
        """
        return len(self._names)

    def __contains__(self, name: str) -> bool:
        """Say whether a name is there.

        :param name: the name.
        :returns: whether it is there.
        """
        return name in self._index_by_name
