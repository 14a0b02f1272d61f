"""All metrics of the system; docs/operations/metrics.md lists the same."""

from ._spec import MetricKind, MetricSpec

COUNTER = MetricKind.COUNTER
GAUGE = MetricKind.GAUGE
HISTOGRAM = MetricKind.HISTOGRAM
ENTRY = ("entry",)
SIDECAR = ("sidecar",)

FIRST_TOKEN_BUCKETS_S = (0.05, 0.1, 0.2, 0.35, 0.5, 0.7, 1.0, 1.5, 2.5, 5.0, 10.0)
BETWEEN_TOKENS_BUCKETS_S = (0.005, 0.01, 0.02, 0.03, 0.04, 0.06, 0.1, 0.2, 0.5, 1.0)
LOG_BUCKETS_S = (0.002, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0)

CATALOGUE = (
    MetricSpec(
        "requests_total",
        COUNTER,
        "Requests that ended; the outcome is ok, caller_gone or an error's code.",
        ("service", "class", "outcome"),
        ENTRY,
    ),
    MetricSpec(
        "open_requests",
        GAUGE,
        "Online requests that have not ended.",
        (),
        ENTRY,
    ),
    MetricSpec(
        "first_token_seconds",
        HISTOGRAM,
        "Time from the arrival of a request to the first token of its answer.",
        ("service", "class"),
        ENTRY,
        buckets=FIRST_TOKEN_BUCKETS_S,
    ),
    MetricSpec(
        "between_tokens_seconds",
        HISTOGRAM,
        "Mean time between tokens of an answer.",
        ("service", "class"),
        ENTRY,
        buckets=BETWEEN_TOKENS_BUCKETS_S,
    ),
    MetricSpec(
        "tokens_total",
        COUNTER,
        "Tokens of answers that were passed on.",
        ("service", "class"),
        ENTRY,
    ),
    MetricSpec(
        "retries_total",
        COUNTER,
        "Attempts after the first one.",
        ("service",),
        ENTRY,
    ),
    MetricSpec(
        "instances",
        GAUGE,
        "Instances in this process's view of the fleet.",
        ("role", "state"),
        ENTRY,
    ),
    MetricSpec(
        "quarantined_requests",
        GAUGE,
        "Fingerprints of requests that crashed backend servers and are refused.",
        (),
        ENTRY,
    ),
    MetricSpec(
        "config_version",
        GAUGE,
        "Version of the configuration in force here.",
    ),
    MetricSpec(
        "config_changes_total",
        COUNTER,
        "Configurations that were applied.",
        (),
        ENTRY,
    ),
    MetricSpec(
        "log_operations_total",
        COUNTER,
        "Operations of the log service; the outcome is ok or the code of the error.",
        ("operation", "outcome"),
        ENTRY,
    ),
    MetricSpec(
        "log_operation_seconds",
        HISTOGRAM,
        "Time until the log service answered.",
        ("operation",),
        ENTRY,
        LOG_BUCKETS_S,
    ),
    MetricSpec(
        "log_records_total",
        COUNTER,
        "Records appended to the log.",
        (),
        ENTRY,
    ),
    MetricSpec(
        "jobs",
        GAUGE,
        "Batch jobs of the owned partitions: open, cancelled or finished.",
        ("state",),
        ENTRY,
    ),
    MetricSpec(
        "batch_items",
        GAUGE,
        "Items of these jobs: waiting, completed or failed.",
        ("state",),
        ENTRY,
    ),
    MetricSpec(
        "streams",
        GAUGE,
        "Streams that the engines run.",
        ("class",),
        SIDECAR,
    ),
    MetricSpec(
        "queued_streams",
        GAUGE,
        "Streams that wait for admission.",
        ("class",),
        SIDECAR,
    ),
    MetricSpec(
        "engines_answer",
        GAUGE,
        "1 while the engines of this backend server answer, 0 otherwise.",
        (),
        SIDECAR,
    ),
    MetricSpec(
        "draining",
        GAUGE,
        "1 while this backend server takes no new work, 0 otherwise.",
        (),
        SIDECAR,
    ),
    MetricSpec(
        "resident_bytes",
        GAUGE,
        "Resident memory of the process.",
    ),
    MetricSpec(
        "cpu_seconds_total",
        COUNTER,
        "Processor time of the process.",
    ),
)
