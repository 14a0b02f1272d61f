"""The leases of a partition, indexed by id, instance and item."""

from collections.abc import Iterator

from ._lease import Lease, LeasePhase


class LeaseTable:
    """Holds the leases that an owner granted or adopted."""

    def __init__(self) -> None:
        self._by_id: dict[str, Lease] = {}
        self._by_instance: dict[str, dict[str, Lease]] = {}
        self._by_item: dict[tuple[str, int], dict[str, Lease]] = {}

    def __len__(self) -> int:
        return len(self._by_id)

    def __contains__(self, lease_id: str) -> bool:
        return lease_id in self._by_id

    def __iter__(self) -> Iterator[Lease]:
        return iter(self._by_id.values())

    def get(self, lease_id: str) -> Lease | None:
        """Returns the lease with this id, or `None`."""
        return self._by_id.get(lease_id)

    def add(self, lease: Lease) -> None:
        """Adds a lease to all indexes."""
        key = lease.lease_id
        self._by_id[key] = lease
        self._by_instance.setdefault(lease.instance, {})[key] = lease
        self._by_item.setdefault((lease.job_id, lease.index), {})[key] = lease

    def remove(self, lease: Lease) -> None:
        """Removes a lease; an unknown one is ignored."""
        key = lease.lease_id
        if self._by_id.pop(key, None) is None:
            return
        _remove(self._by_instance, lease.instance, key)
        _remove(self._by_item, (lease.job_id, lease.index), key)

    def of_instance(self, instance: str) -> list[Lease]:
        """Returns the leases that a sidecar holds."""
        return list(self._by_instance.get(instance, {}).values())

    def of_item(self, job_id: str, index: int) -> list[Lease]:
        """Returns the leases of one item."""
        return list(self._by_item.get((job_id, index), {}).values())

    def of_job(self, job_id: str) -> list[Lease]:
        """Returns the leases of a job's items."""
        return [lease for lease in self if lease.job_id == job_id]

    def expired(self, now: float) -> list[Lease]:
        """Returns the running leases that were not renewed in time."""
        return [
            lease
            for lease in self
            if lease.expires_at <= now and lease.phase is LeasePhase.RUNNING
        ]


def _remove(table: dict, group: str | tuple[str, int], key: str) -> None:
    del table[group][key]
    if not table[group]:
        del table[group]
