"""Settings of an entry's batch service."""

import attrs
from attrs import validators as v

from ...batch import OwnerSettings
from ...log import CommitLimits

COMMIT_LIMITS = CommitLimits(buffer_bytes=4_194_304)


@attrs.frozen
class BatchSettings:
    """Times are in seconds and sizes in bytes.

    ``ownership_s`` is the interval at which an entry checks which partitions it owns,
    and ``poll_s`` the interval at which it reads their streams. After ``linger_s``
    without use, the entry stops serving a partition that another entry owns. ``open_s``
    is how long a call waits for the replay of a partition's stream. ``commit_wait_s``
    is how long a sidecar waits for its results to become durable, ``refresh_s`` how
    long a look-up waits for records that other entries appended, and ``accept_s`` how
    long a caller waits for its job or file. ``forward_s`` is the timeout of a call that
    is forwarded to the partition's owner. ``cache_bytes`` limits the items and results
    cached in memory; evicted ones are read from the log again. ``log_retention_s`` is
    the age at which the log service drops a record. ``appends_per_s`` is the share of
    the log's append rate that all partitions of the deployment may use together.
    """

    owner: OwnerSettings = OwnerSettings()
    commit: CommitLimits = COMMIT_LIMITS
    ownership_s: float = attrs.field(default=1.0, validator=v.gt(0))
    poll_s: float = attrs.field(default=1.0, validator=v.gt(0))
    linger_s: float = attrs.field(default=30.0, validator=v.gt(0))
    open_s: float = attrs.field(default=10.0, validator=v.gt(0))
    refresh_s: float = attrs.field(default=2.0, validator=v.gt(0))
    commit_wait_s: float = attrs.field(default=1.5, validator=v.gt(0))
    accept_s: float = attrs.field(default=20.0, validator=v.gt(0))
    forward_s: float = attrs.field(default=60.0, validator=v.gt(0))
    cache_bytes: int = attrs.field(default=8_388_608, validator=v.ge(0))
    max_file_bytes: int = attrs.field(default=104_857_600, validator=v.ge(1))
    appends_per_s: float = attrs.field(default=150.0, validator=v.gt(0))
    log_retention_s: float = attrs.field(default=86400.0, validator=v.gt(0))
    maintenance_s: float = attrs.field(default=60.0, validator=v.gt(0))

    def commit_limits(self, partitions: int) -> CommitLimits:
        """Returns the commit limits of one of ``partitions`` partitions.

        All partitions together stay within ``appends_per_s``.
        """
        interval_s = max(self.commit.min_interval_s, partitions / self.appends_per_s)
        return attrs.evolve(self.commit, min_interval_s=interval_s)
