"""Times of the gateway, in seconds unless their names say otherwise."""

# Long polls of the store. A connection that fell silent is noticed after this and the
# store client's time-out together, well inside the bounds for drains and versions.
POLL_S = 1.5
# Between two reads of the job log: batches the records of all entries into one read.
JOB_READ_GAP_S = 0.06
# After a failed call to the store: a few calls a second for each topic in an outage.
STORE_RETRY_S = 0.15
STORE_RETRY_MAX_S = 0.6
# A configuration confirmed this recently is taken as current before a 404.
CONFIG_MAX_AGE_S = 0.3
# Results confirmed this recently are taken as current; the platform allows a second.
RESULTS_MAX_AGE_S = 0.4
# How long a caller's submission waits for the log, of the four seconds it has.
SUBMIT_TIMEOUT_S = 1.6
# A finished item is held while the store is away, for longer than an outage lasts;
# after this it is run again.
ITEM_RECORD_TIMEOUT_S = 60.0
# Progress that is handed over is only useful until the next owner has begun anew.
HAND_OFF_TIMEOUT_S = 3.0
# How long one long poll of a caller may be held.
MAX_LONG_POLL_S = 1.0

# A pause in a stream that may go on elsewhere, after which it does: far above the
# pause of a full engine, and below the two seconds after which callers leave.
STALL_S = 0.9
# A wait for the first event, as a multiple of the objective, after which a repeatable
# request goes elsewhere.
FIRST_EVENT_OBJECTIVES = 2.0
# An engine that refused or failed is avoided for this long: about as long as a place
# takes to come free, or an engine to be noticed as lost.
AVOID_FULL_S = 0.15
AVOID_FAILED_S = 1.0
# Bytes of a plain answer that are held back so that it may still be fetched anew.
MAX_HELD_BYTES = 256 * 1024

# Between two looks at the batch work; engines' places come free every some 10 ms.
BATCH_TICK_S = 0.1
# An engine whose load no answer has told for this long is asked when batch work needs
# to know it; what entries tell each other is newer.
PROBE_S = 2.0
PROBE_TIMEOUT_S = 0.5
# Pause of a batch stream after which it goes on elsewhere.
BATCH_STALL_S = 2.5
# How long an item waits after a run that failed.
ITEM_RETRY_S = 0.3
# An item that was stopped is kept this long by the entry that ran it, which goes on
# with it for free; after that its progress is kept for others.
HOLD_STOPPED_S = 1.5
# After a record is kept, by when all entries have read it: a long poll's answer, the
# pause between reads and the way across regions, several times over.
REPLAY_LAG_S = 0.6
# How long an item waits whose body the store did not deliver.
BODY_RETRY_S = 1.0
# An item's usual run before any was measured.
ITEM_RUN_S = 4.0
# Between two looks at which entries share the batch work.
MEMBERS_TICK_S = 0.2

# After SIGTERM: callers are sent elsewhere after two missed readiness checks, one a
# second; what is left at the end of the grace is closed this long before it.
LEAVE_ROTATION_S = 2.6
CLOSE_MARGIN_S = 0.7
DRAIN_TICK_S = 0.1
# Items that still run this long before the end hand their progress over.
HAND_OFF_S = 1.0

# Connections kept for the platform's readiness checks and for metrics.
SIDE_CONNECTIONS = 64
# Descriptors that are not connections from callers: files, the store, engines.
RESERVED_DESCRIPTORS = 600

# Counts for other entries: checked this often and sent when they have changed, and
# otherwise often enough for `PEER_VALID_S`; entries that are not heard are told less.
PEER_TICK_S = 0.04
PEER_SEND_GAP_S = 0.03
PEER_HEARTBEAT_S = 0.5
PEER_LOST_HEARTBEAT_S = 2.0
# Long poll of the entries' addresses, which change with restarts only.
PEER_POLL_S = 10.0

# Where metrics are served; deploy/system.toml names the same port.
METRICS_PORT = 9464

# Calls that are passed on for other gateways: a long poll and an answer's time.
RELAY_TIMEOUT_S = 3.0
RELAY_CONNECTIONS = 256
# While the store turns this gateway away, the straight way is tried this often.
DIRECT_PROBE_S = 1.0
