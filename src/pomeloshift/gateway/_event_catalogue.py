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
    EventSpec("started", "The process listens."),
    EventSpec("metrics_not_served", "The port for metrics is taken."),
    EventSpec("reloaded", "SIGHUP came; settings hold for a process's life."),
    EventSpec("draining", "SIGTERM came; the readiness check fails from now on."),
    EventSpec("drained", "What was open has ended, or the grace has."),
    EventSpec("stopped", "The process ends."),
    EventSpec("lines_omitted", "Ordinary lines of a kind were left out in a second."),
    EventSpec("store_lost", "The store stopped answering for a topic."),
    EventSpec("store_regained", "The store answers again for a topic."),
    EventSpec("store_path_changed", "Calls go straight to the store, or by a relay."),
    EventSpec("history_lost", "The store dropped records that were not read yet."),
    EventSpec("topic_read", "A topic was read from its newest records."),
    EventSpec("append_repeated", "An append got no answer or was refused for now."),
    EventSpec("append_failed", "An append was refused for good.", True),
    EventSpec("removal_failed", "Records of an old job could not be removed."),
    EventSpec("config_applied", "A newer configuration is in force here."),
    EventSpec("config_ignored", "A record of the configuration cannot be read."),
    EventSpec("engines_read", "The whole list of engines was read."),
    EventSpec("engine_changed", "An engine's entry is new or has changed."),
    EventSpec("engine_removed", "An engine's entry was removed."),
    EventSpec("engine_gone", "An entry is still missing after an outage."),
    EventSpec("engine_ignored", "An entry names no engine to use."),
    EventSpec("engine_failed", "An engine could not be reached or broke off."),
    EventSpec("address_not_published", "Other gateways cannot find this one."),
    EventSpec("peer_ignored", "A gateway's address cannot be read."),
    EventSpec("peer_silent", "A gateway is not heard any more."),
    EventSpec("datagram_ignored", "A datagram cannot be read."),
    EventSpec("datagram_not_sent", "The network refused a datagram."),
    EventSpec("members_changed", "Other gateways share the batch work now."),
    EventSpec("route_unknown", "No route of the newest configuration fits.", True),
    EventSpec("request_refused", "Refused before a route was looked for.", True),
    EventSpec("would_be_late", "No engine can start it within its objective."),
    EventSpec("attempt_sent", "A request was written to an engine."),
    EventSpec("attempt_refused", "The engine proved that it did not run it."),
    EventSpec("request_answered", "An engine's whole answer was passed on.", True),
    EventSpec("request_failed", "It was refused, given up or cut.", True),
    EventSpec("caller_gone", "The caller closed its connection first.", True),
    EventSpec("batch_call_failed", "A batch call was refused or given up.", True),
    EventSpec("job_malformed", "A submitted job cannot be read.", True),
    EventSpec("job_refused", "A job's tokens do not fit in the queue.", True),
    EventSpec("job_accepted", "The log keeps the job.", True),
    EventSpec("job_unknown", "The log, read to its end, has no such job."),
    EventSpec("job_end_accepted", "The log keeps the caller's end of a job.", True),
    EventSpec("job_forgotten", "An old job's records are being removed."),
    EventSpec("item_started", "An item was given a place at an engine."),
    EventSpec("item_not_run", "An item's body could not be read."),
    EventSpec("item_yielded", "An item gave its place back."),
    EventSpec("item_stopped", "A run of an item was ended from here."),
    EventSpec("item_run", "A run of an item ended."),
    EventSpec("item_given_up", "An item's time is over.", True),
    EventSpec("item_settled", "The log keeps an item's result.", True),
)
