"""Time-outs, intervals and limits of the gateway; times are in seconds."""

# Duration of a long poll of the store. An unresponsive connection is detected after
# this plus the store client's time-out, well within the limits for applying drains and
# configuration versions.
POLL_S = 1.5
# Pause between two reads of the job log: one read returns records of all gateways.
JOB_READ_GAP_S = 0.06
# Delays after failed calls to the store: a few calls per second and topic in an outage.
STORE_RETRY_S = 0.15
STORE_RETRY_MAX_S = 0.6
# Before a response of 404 or 401, a configuration confirmed within this time counts as
# current.
CONFIG_MAX_AGE_S = 0.3
# Results confirmed within this time count as current; the platform allows a second.
RESULTS_MAX_AGE_S = 0.4
# How long a submission waits for one append, and for all those of a large job, out of
# the four seconds that it may take.
SUBMIT_TIMEOUT_S = 1.6
SUBMIT_TOTAL_S = 2.4
# How long a finished item's result is held and its append retried while the store is
# unavailable: longer than an outage lasts. After this the item runs again.
ITEM_RECORD_TIMEOUT_S = 60.0
# How long storing handed-off progress is tried: the progress is useful only until the
# next owner restarts the item.
HAND_OFF_TIMEOUT_S = 3.0
# Longest time for which a caller's long poll is held open.
MAX_LONG_POLL_S = 1.0

# Pause in a resumable stream after which another engine resumes it: far above the pause
# of a full engine, and below the two seconds after which callers disconnect.
STALL_S = 0.9
# As a multiple of the longest pause for which the route's response is in time: engines
# that are slow but sound are not given up.
STALL_GAPS = 3.0
# How long a stream that was cut waits until the limit of an engine allows its resume:
# callers disconnect after two seconds.
MAX_RESUME_WAIT_S = 1.5
# Least time between two looks at the limits by a request that waits.
MIN_WAIT_S = 0.005
# How many events of a response make a sample of its engine's pace: some in a short one.
PACE_EVENTS = 6
# Interval at which changed estimates of engines' speeds are logged.
CAPACITY_TICK_S = 1.0
# Time-out for the first event, as a multiple of the latency objective, after which an
# idempotent request is retried on another engine.
FIRST_EVENT_OBJECTIVES = 2.0
# How long an engine that rejected a request or failed is avoided: about as long as a
# slot takes to become free, or a lost engine takes to be detected.
AVOID_FULL_S = 0.15
AVOID_FAILED_S = 1.0
# Bytes of a response other than a stream that are held back so that the request can
# still be retried on another engine.
MAX_HELD_BYTES = 256 * 1024

# Interval between two passes over the batch work; a slot of some engine becomes free
# about every 10 ms.
BATCH_TICK_S = 0.1
# An engine whose load no response has reported for this long is probed when batch work
# needs the load; counts that gateways exchange are newer.
PROBE_S = 2.0
PROBE_TIMEOUT_S = 0.5
# Limit of an engine's report, which lists its models and its requests.
MAX_REPORT_BYTES = 256 * 1024
# Pause in a batch stream after which the run is abandoned, to be resumed elsewhere.
BATCH_STALL_S = 2.5
# As multiples of the route's longest pause and of its objective.
BATCH_STALL_GAPS = 8.0
BATCH_STALL_OBJECTIVES = 3.0
# Limit of an item's output: what the platform reads of a job's results in one call.
MAX_OUTPUT_BYTES = 1024 * 1024
# How long a stopped item is reserved for the gateway that ran it, which can resume it
# at no cost. After this its progress is stored for other gateways.
HOLD_STOPPED_S = 1.5
# How long a gateway waits until the claim of an item that it resumes is durable.
# Without the claim the item is tried again after `ITEM_STORE_RETRY_S`.
CLAIM_TIMEOUT_S = 1.0
# Time after which all gateways have replayed a durable record: several times the sum of
# a long poll's response, the pause between reads and the latency across regions.
REPLAY_LAG_S = 0.6
# Delay before an item is retried whose body or claim failed because of the store.
ITEM_STORE_RETRY_S = 1.0
# Expected run time of an item before any has been measured.
ITEM_RUN_S = 4.0
# Interval at which the gateways that share the batch work are determined.
MEMBERS_TICK_S = 0.2

# A request under which this many engines crashed is not sent to another one, until this
# long after the last crash. Neither are requests with a prompt part under which this
# many crashed, or more for a part on which engines completed responses before: engines
# crash beside harmless requests as well. The platform allows five.
QUARANTINE_CRASHES = 3
PROVEN_PART_CRASHES = 5
QUARANTINE_S = 600.0
# A quarantined request whose crashes may have had another cause is tried once this long
# after the last of them, by one gateway. The platform allows three further runs.
QUARANTINE_TRIAL_S = 30.0
# A part is tried sooner, because many callers may share it; the time doubles with each
# trial that crashes its engine. After five crashes the platform allows three requests.
PART_TRIAL_S = 2.0
MAX_FAILED_TRIALS = 3
# By how much later than its owner the next gateways may try a part: longer than until
# the outcome of a trial is known everywhere.
TRIAL_RANK_S = 0.5
# A run that goes on for this much longer than another, from its first event, shows that
# the engine of the other did not crash because of what both share.
OUTLIVE_S = 0.25
OUTLIVE_TICK_S = 0.1
# Largest number of parts with crashes, and of parts known to be completed: two of each
# request in half a minute at 320 requests a second.
MAX_SUSPECT_PARTS = 20_000
# Long poll of the crashes. An unresponsive connection is detected after this plus the
# store client's time-out: a crash has to be known everywhere within four seconds.
CRASH_POLL_S = 2.0
# Pause between two reads of the crashes: an engine's crash makes a record of each
# request that ran there.
CRASH_READ_GAP_S = 0.1
CRASH_TICK_S = 0.5
# After this time a new gateway is ready although it could not read the crashes.
CRASHES_WAIT_S = 5.0
# Largest number of crash records that wait for the store: 100 crashes of engines
# with 20 requests each, of which each has three records.
MAX_UNWRITTEN_CRASHES = 6000
# After which time records that the store did not take are published again, and the
# longest such time while it goes on: a crash has to be known everywhere within four
# seconds.
REPUBLISH_CRASHES_S = 0.5
REPUBLISH_CRASHES_MAX_S = 2.0
# How long the removal of an expired record may take before it is written again.
CRASH_REMOVAL_S = 10.0

# Time from SIGTERM until new requests are refused: callers are sent to other gateways
# after two failed readiness checks, one a second.
LEAVE_ROTATION_S = 2.6
# Whatever is still open this long before the end of the grace period is closed.
CLOSE_MARGIN_S = 0.7
DRAIN_TICK_S = 0.1
# How many ticks connections without a request stay open once requests are refused: they
# were accepted just before, and the latency to callers is some milliseconds.
LAST_REQUEST_TICKS = 3
# Items that still run this long before that time hand off their progress.
HAND_OFF_S = 1.0

# Largest number of connections for the platform's readiness checks, and for metrics.
SIDE_CONNECTIONS = 64
# File descriptors that callers' connections cannot use: files, the store, engines.
RESERVED_DESCRIPTORS = 600

# Interval at which a gateway checks whether heartbeats to others are due.
PEER_TICK_S = 0.04
# Least time between two heartbeats to a gateway: for a changed state; for an unchanged
# one; and for a gateway that has not been heard for `PEER_VALID_S`. The last two are
# below `PEER_VALID_S`, also for an unheard gateway, because it may hear this one.
PEER_SEND_GAP_S = 0.03
PEER_HEARTBEAT_S = 0.5
PEER_LOST_HEARTBEAT_S = 1.0
# How long heartbeats hold a changed report of an engine's limit: several heartbeats, as
# some datagrams are lost. Interval of heartbeats with all such reports.
LIMIT_RECENT_S = 0.3
ALL_LIMITS_S = 2.0
# A gateway without a heartbeat for this long may not hear this one's requests either,
# so that its share of the rate limits is left to it: one heartbeat, its latency and the
# delay of a busy process.
RATE_HEARD_S = 0.7
# How long heartbeats hold a changed counter of a workspace: until the next one that is
# sent without a change.
RATE_RECENT_S = 0.6
# How long this gateway's share of the limits is used before it is determined again.
RATE_SHARE_S = 0.05
# After a pause of this process between these times, heartbeats that arrived meanwhile
# are read before the share is determined again. After a longer one it is determined at
# once: a process that was suspended may have been cut off.
RATE_PAUSE_S = 0.2
RATE_LONG_PAUSE_S = 1.0
# Every `ALL_LIMITS_S`, heartbeats hold the counters that changed within this time, so
# that each is sent five times at least; all counters, 1.6 KB of 85 workspaces, would
# take 70 KB/s of a gateway with 87 others. Those are sent every `ALL_COUNTERS_S`.
COUNTERS_RESENT_S = 10.0
ALL_COUNTERS_S = 20.0
# Long poll of the gateways' addresses, which change only with restarts.
PEER_POLL_S = 10.0
# Interval of reads of the addresses while that of a heard gateway is missing.
PEER_REFRESH_S = 1.0

# Port that serves metrics; deploy/system.toml names the same port.
METRICS_PORT = 9464

# Time-out of a call that is relayed for another gateway: a long poll and its response,
# besides the transfer of its body.
RELAY_TIMEOUT_S = 3.0
RELAY_CONNECTIONS = 256
# Interval at which the direct path is probed while the store rejects this gateway.
DIRECT_PROBE_S = 1.0

# How long a stream's version is known, and how long one that has left the service
# counts: longer than callers wait for a stream. With longer time-outs of routes it is
# this many of them, because a caller may send several requests for one stream.
STREAM_KEPT_S = 30.0
STREAM_KEPT_TIMEOUTS = 3
STREAM_TICK_S = 0.5
# Long poll of the streams' versions. An unresponsive connection is detected after this
# plus the store client's time-out.
STREAM_POLL_S = 3.0
# Pause between two reads: each append would wake the polls of all gateways. Looking up
# an unknown stream does not wait for it.
STREAM_READ_GAP_S = 0.25
# How long a version is announced before it is used. Callers whose gateway was killed
# before it recorded their streams take them up meanwhile, mostly within 0.2 s.
VERSION_ANNOUNCED_S = 0.5
# Largest number of streams whose version a gateway knows, and of its own ones without a
# record. The oldest ones beyond it are unknown.
MAX_STREAMS = 50_000
# A stream's key takes nine bytes of a record.
MAX_STREAMS_A_RECORD = 2000
# Largest number of expired records that one append removes.
MAX_STREAM_REMOVALS = 200

# Interval at which the age of the lease on the configuration is looked at.
LEASE_TICK_S = 0.1
