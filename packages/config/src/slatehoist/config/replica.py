"""In-memory replica of the accepted resources in one process."""

from collections.abc import Callable, Iterable

from slatehoist.config.resources import Kind, Resource, parse_spec

#: Number of changes to which the history for peers and watchers that are behind should
#: be limited. No code uses this limit yet: `Replica` keeps all changes.
MAX_HISTORY = 10_000


class Replica:
    """Resources in force in this process. The revision never decreases.

    Changes arrive from the table and from peers. A change may arrive more than once, or
    before an earlier one, so it is applied only if its revision directly follows the
    revision in force. Any other change is dropped, not kept for later; it has to arrive
    again after the changes before it.
    """

    def __init__(self) -> None:
        self.revision = 0
        self._resources: dict[tuple[str, str], Resource] = {}
        self._specs: dict[tuple[str, str], object] = {}
        self._history: list[Resource] = []
        self._listeners: list[Callable[[], None]] = []

    def on_change(self, listener: Callable[[], None]) -> None:
        """Register a function to call after changes were applied."""
        self._listeners.append(listener)

    def apply(self, changes: Iterable[Resource]) -> bool:
        """Apply changes in order of revision; return True if any was applied."""
        before = self.revision
        for change in sorted(changes, key=lambda change: change.revision):
            if change.revision == self.revision + 1:
                self._apply_one(change)
        if self.revision == before:
            return False
        for listener in self._listeners:
            listener()
        return True

    def changes_since(self, revision: int) -> list[Resource]:
        """Return the applied changes that follow a revision."""
        return [change for change in self._history if change.revision > revision]

    def get(self, kind: str, name: str) -> Resource | None:
        """Return a resource, or None if it does not exist."""
        resource = self._resources.get((kind, name))
        return None if resource is None or resource.deleted else resource

    def spec(self, kind: str, name: str) -> object | None:
        """Return the typed spec of a resource, or None if it does not exist."""
        return self._specs.get((kind, name))

    def list(self, kind: str) -> list[Resource]:
        """Return the resources of a kind, sorted by name."""
        found = [r for (k, _), r in self._resources.items() if k == kind]
        return sorted((r for r in found if not r.deleted), key=lambda r: r.name)

    def specs(self, kind: Kind) -> dict[str, object]:
        """Return the typed specs of a kind by name."""
        return {name: spec for (k, name), spec in self._specs.items() if k == kind}

    def _apply_one(self, change: Resource) -> None:
        key = (change.kind, change.name)
        self.revision = change.revision
        self._resources[key] = change
        self._history.append(change)
        if change.deleted:
            self._specs.pop(key, None)
        else:
            self._specs[key] = parse_spec(change.kind, change.spec)
