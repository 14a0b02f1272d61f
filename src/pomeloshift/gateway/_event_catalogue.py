"""All events that a gateway logs; docs/OPERATIONS.md lists the same events."""

import attrs


@attrs.frozen
class EventSpec:
    """An event's name and meaning.

    ``is_decisive`` marks events that state the outcome of a request, job or item.
    """

    name: str
    meaning: str
    is_decisive: bool = False


EVENTS = (
    EventSpec("started", "The process accepts connections."),
    EventSpec("metrics_not_served", "The port for metrics is in use."),
    EventSpec("reloaded", "SIGHUP was received; settings change only with a restart."),
    EventSpec(
        "draining", "SIGTERM was received; the readiness check fails from now on."
    ),
    EventSpec("drained", "All open work has ended, or the drain time has expired."),
    EventSpec("stopped", "The process is about to exit."),
    EventSpec(
        "lines_omitted", "Ordinary lines of one kind were omitted within a second."
    ),
    EventSpec("store_lost", "The store is unavailable for a topic."),
    EventSpec("store_regained", "The store is available again for a topic."),
    EventSpec(
        "store_path_changed", "Calls go directly to the store, or through a relay."
    ),
    EventSpec("history_lost", "The store expired records that had not been read yet."),
    EventSpec("topic_read", "A topic was read from its newest records."),
    EventSpec(
        "append_repeated",
        "An append had no response or was rejected for now; `state` says whether it may"
        " be applied, `step` what is tried next, `bytes` and `took_s` how large and how"
        " long the call was, `waiting` what is queued behind it.",
    ),
    EventSpec("append_failed", "An append was rejected permanently.", True),
    EventSpec(
        "upload_abandoned",
        "Bodies or an output were not stored; `stored` of `bytes` were, and are removed"
        " again.",
    ),
    EventSpec("removal_failed", "Old records could not be removed."),
    EventSpec("config_applied", "A newer configuration is in force here."),
    EventSpec("key_unknown", "The request has no key of a workspace.", True),
    EventSpec("lease_expired", "Keys cannot be checked: the configuration is old."),
    EventSpec("lease_renewed", "The configuration was confirmed; keys are served."),
    EventSpec("lease_not_renewed", "An additional read of the configuration failed."),
    EventSpec("config_ignored", "A record of the configuration cannot be read."),
    EventSpec("engines_read", "The complete list of engines was read."),
    EventSpec("engine_changed", "An engine's record is new or has changed."),
    EventSpec("engine_leaving", "An engine's response says that it is about to exit."),
    EventSpec("engine_replaced", "An engine reports another incarnation than listed."),
    EventSpec(
        "version_added", "A version of a service's software is used from now on."
    ),
    EventSpec("version_left", "No engine of a version of the software is left."),
    EventSpec("version_not_recorded", "The record of a version was rejected."),
    EventSpec("streams_not_recorded", "The versions of streams were not recorded."),
    EventSpec("streams_not_read", "The store did not deliver the versions of streams."),
    EventSpec("stream_record_ignored", "The record of a stream cannot be read."),
    EventSpec("stream_unknown", "It is not known which version began a stream."),
    EventSpec("version_unavailable", "No engine of the stream's version is left."),
    EventSpec("engine_removed", "An engine's record was removed."),
    EventSpec("engine_gone", "An engine's record is still missing after an outage."),
    EventSpec("topic_not_read", "An unexpected error ended a read of a topic."),
    EventSpec("record_skipped", "A record of a topic cannot be applied."),
    EventSpec("engine_ignored", "A record does not describe a usable engine."),
    EventSpec(
        "engine_failed", "An engine could not be reached, or its response failed."
    ),
    EventSpec(
        "engine_limit_changed",
        "An engine names another limit of requests a second, or none.",
    ),
    EventSpec(
        "engine_speed_changed",
        "What is learned of an engine's start delay or pace changed by a fifth.",
    ),
    EventSpec("address_not_published", "Other gateways cannot find this one."),
    EventSpec("peer_ignored", "A gateway's address cannot be read."),
    EventSpec("peer_silent", "No heartbeat of a gateway arrives any more."),
    EventSpec("datagram_ignored", "A datagram cannot be read."),
    EventSpec("datagram_not_sent", "A datagram could not be sent."),
    EventSpec(
        "members_changed", "The set of gateways that share the batch work has changed."
    ),
    EventSpec("route_unknown", "No route of the newest configuration matches.", True),
    EventSpec(
        "request_refused",
        "The request was refused before its route was determined.",
        True,
    ),
    EventSpec("would_be_late", "No engine can start it within its objective."),
    EventSpec("limits_reached", "No engine's limit allows it within its objective."),
    EventSpec("rate_limited", "The request is over its workspace's limit.", True),
    EventSpec("memory_full", "No engine has memory for the request's tokens."),
    EventSpec("attempt_sent", "A request was written to an engine."),
    EventSpec(
        "attempt_refused",
        "The engine rejected a request and proved that it did not run it.",
    ),
    EventSpec(
        "response_doubted",
        "A response on a reused connection names no request; its order decides.",
    ),
    EventSpec(
        "crash_recorded",
        "An engine crashed during an online request, seen here or not.",
    ),
    EventSpec(
        "part_crash_recorded",
        "An engine crashed during a request with this prompt part.",
    ),
    EventSpec(
        "crashes_cleared", "A response shows that its request or part is no cause."
    ),
    EventSpec(
        "crash_not_published",
        "The store did not take records of crashes; they are written again.",
    ),
    EventSpec("crash_ignored", "The record of a crash cannot be read."),
    EventSpec("part_quarantined", "Requests with this prompt part crash engines."),
    EventSpec("part_released", "A prompt part is not quarantined any more."),
    EventSpec(
        "quarantine_trial", "A quarantined request, or one with such a part, is tried."
    ),
    EventSpec(
        "request_quarantined",
        "Engines crashed during it, or during others with this part: it is stopped.",
    ),
    EventSpec("request_answered", "An engine's complete response was relayed.", True),
    EventSpec("request_failed", "It was refused, expired or was cut.", True),
    EventSpec("caller_gone", "The caller closed its connection first.", True),
    EventSpec("batch_call_failed", "A batch call was refused or timed out.", True),
    EventSpec("job_malformed", "A submitted job cannot be read.", True),
    EventSpec("job_refused", "A job's tokens do not fit in the queue.", True),
    EventSpec(
        "job_over_cap",
        "A job's record was removed: by the order of the log it exceeds the cap.",
        True,
    ),
    EventSpec(
        "job_append_unknown",
        "A job's record got no response in time; the log is read for it.",
    ),
    EventSpec(
        "job_refusal_left",
        "A refused job's record was left by its submitter and is removed here.",
    ),
    EventSpec("job_accepted", "The job is durable in the log.", True),
    EventSpec("job_unknown", "The job is not in the log, which was read to its end."),
    EventSpec(
        "job_end_accepted", "The caller's end of a job is durable in the log.", True
    ),
    EventSpec("job_forgotten", "An old job's records are being removed."),
    EventSpec("item_started", "An item was given a slot at an engine."),
    EventSpec("item_held", "An item waits because a part of it is quarantined."),
    EventSpec("item_not_run", "Its body could not be read, or its claim stored."),
    EventSpec(
        "progress_lost", "The stored progress of an item is lost; it runs without it."
    ),
    EventSpec("item_yielded", "An item was preempted or stopped."),
    EventSpec("item_stopped", "This gateway ended a run of an item."),
    EventSpec("item_run", "A run of an item ended."),
    EventSpec("item_given_up", "An item expired, or its route has ended.", True),
    EventSpec("memory_divided", "How much memory callers may hold together."),
    EventSpec("caller_refused", "A caller's request or connection found no memory."),
    EventSpec(
        "caller_dropped", "An incomplete request was ended for others, or a connection."
    ),
    EventSpec("job_not_decoded", "A submission found no memory to be decoded.", True),
    EventSpec("caller_unread", "A caller read nothing and was disconnected."),
    EventSpec("item_settled", "An item's result is durable in the log.", True),
)
