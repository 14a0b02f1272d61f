"""All metrics of the system; docs/operations/metrics.md lists the same metrics."""

from ._spec import MetricKind, MetricSpec

COUNTER = MetricKind.COUNTER
GAUGE = MetricKind.GAUGE
HISTOGRAM = MetricKind.HISTOGRAM
ENTRY = ("entry",)
SIDECAR = ("sidecar",)
GATEWAY = ("gateway",)
ALL = ("entry", "sidecar", "gateway")

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
        "Time from the arrival of a request to the first token of its response.",
        ("service", "class"),
        ENTRY,
        buckets=FIRST_TOKEN_BUCKETS_S,
    ),
    MetricSpec(
        "between_tokens_seconds",
        HISTOGRAM,
        "Mean time between tokens of a response.",
        ("service", "class"),
        ENTRY,
        buckets=BETWEEN_TOKENS_BUCKETS_S,
    ),
    MetricSpec(
        "tokens_total",
        COUNTER,
        "Tokens of responses that were relayed.",
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
        "Time until the log service responded.",
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
        "1 while the engines of this backend server respond, 0 otherwise.",
        (),
        SIDECAR,
    ),
    MetricSpec(
        "draining",
        GAUGE,
        "1 while this backend server accepts no new work, 0 otherwise.",
        (),
        SIDECAR,
    ),
    MetricSpec(
        "resident_bytes",
        GAUGE,
        "Resident memory of the process.",
        (),
        ALL,
    ),
    MetricSpec(
        "cpu_seconds_total",
        COUNTER,
        "Processor time of the process.",
        (),
        ALL,
    ),
    MetricSpec(
        "gateway_decisions_total",
        COUNTER,
        "Log lines by event, also those that were omitted to bound the log.",
        ("event",),
        GATEWAY,
    ),
    MetricSpec(
        "gateway_answers_total",
        COUNTER,
        "Responses to online requests.",
        ("route", "status"),
        GATEWAY,
    ),
    MetricSpec(
        "gateway_first_event_seconds",
        HISTOGRAM,
        "Time from the arrival of a request to the first event of its response.",
        ("route",),
        GATEWAY,
        buckets=FIRST_TOKEN_BUCKETS_S,
    ),
    MetricSpec(
        "gateway_request_seconds",
        HISTOGRAM,
        "Time from the arrival of a request to the end of its response.",
        ("route",),
        GATEWAY,
        buckets=FIRST_TOKEN_BUCKETS_S,
    ),
    MetricSpec(
        "gateway_item_run_seconds",
        HISTOGRAM,
        "Time that a batch item ran at an engine.",
        ("end",),
        GATEWAY,
        buckets=FIRST_TOKEN_BUCKETS_S,
    ),
    MetricSpec(
        "gateway_store_call_seconds",
        HISTOGRAM,
        "Time until the store responded; a long poll waits for records.",
        ("call", "outcome"),
        GATEWAY,
        buckets=LOG_BUCKETS_S,
    ),
    MetricSpec(
        "gateway_open_requests",
        GAUGE,
        "Online requests that have not ended.",
        (),
        GATEWAY,
    ),
    MetricSpec(
        "gateway_config_version",
        GAUGE,
        "Version of the configuration in force here, 0 before the first one.",
        (),
        GATEWAY,
    ),
    MetricSpec(
        "gateway_engines",
        GAUGE,
        "Engines in this process's view: serving, draining or avoided.",
        ("state",),
        GATEWAY,
    ),
    MetricSpec(
        "gateway_peers",
        GAUGE,
        "Other gateways whose heartbeats arrive.",
        (),
        GATEWAY,
    ),
    MetricSpec(
        "gateway_items_running",
        GAUGE,
        "Batch items that this process runs at engines.",
        (),
        GATEWAY,
    ),
    MetricSpec(
        "gateway_items_waiting",
        GAUGE,
        "Items of all jobs that have no result yet.",
        (),
        GATEWAY,
    ),
    MetricSpec(
        "gateway_job_log_age_seconds",
        GAUGE,
        "Time since this process last knew the complete job log.",
        (),
        GATEWAY,
    ),
    MetricSpec(
        "gateway_log_lines_dropped_total",
        COUNTER,
        "Log lines lost because their reader was slow.",
        (),
        GATEWAY,
    ),
)
