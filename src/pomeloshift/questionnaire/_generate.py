"""Derives the configuration from the answers."""

from ..config import Configuration, LinkConfig, RegionConfig
from ._answers import Answers
from ._explanation import Explanation
from ._generate_people import make_api_keys, make_operator_keys, make_workspace
from ._generate_services import make_backend_servers, make_service
from ._trace import Ref, Trace

BYTES_PER_MEGABIT = 125_000
SECONDS_PER_DAY = 86_400


def generate(answers: Answers) -> Configuration:
    """Returns the configuration derived from the answers."""
    return _generate(answers, Trace())


def explain(answers: Answers) -> list[Explanation]:
    """Returns, for each value of the configuration, its source answers."""
    trace = Trace()
    _generate(answers, trace)
    return trace.explanations


def _generate(answers: Answers, trace: Trace) -> Configuration:
    ref = Ref(answers, "")
    return Configuration(
        deployment=trace.record(
            "deployment", answers.deployment, ref.source("deployment")
        ),
        regions=_make_regions(ref, trace),
        services=tuple(
            make_service(ref, service, index, trace)
            for index, service in enumerate(ref.parts("services"))
        ),
        workspaces=tuple(
            make_workspace(ref, workspace, index, trace)
            for index, workspace in enumerate(ref.parts("workspaces"))
        ),
        api_keys=make_api_keys(ref, trace),
        operator_keys=make_operator_keys(ref, trace),
        backend_servers=make_backend_servers(ref, trace),
        link=_make_link(ref.part("link"), trace),
        result_retention_s=trace.record(
            "result_retention_s",
            answers.results_kept_days * SECONDS_PER_DAY,
            ref.source("results_kept_days"),
        ),
    )


def _make_regions(ref: Ref, trace: Trace) -> tuple[RegionConfig, ...]:
    regions = []
    for index, region in enumerate(ref.parts("regions")):
        path = f"regions[{index}]"
        name = region.answers.name
        zones = region.answers.availability_zones
        regions.append(
            RegionConfig(
                trace.record(f"{path}.name", name, region.source("name")),
                trace.record(
                    f"{path}.availability_zones",
                    zones,
                    region.source("availability_zones"),
                ),
            )
        )
    return tuple(regions)


def _make_link(link: Ref, trace: Trace) -> LinkConfig:
    answers = link.answers
    return LinkConfig(
        bytes_per_s=trace.record(
            "link.bytes_per_s",
            answers.megabits_per_s * BYTES_PER_MEGABIT,
            link.source("megabits_per_s"),
        ),
        online_share=trace.record(
            "link.online_share",
            answers.online_percent / 100,
            link.source("online_percent"),
        ),
        batch_share=trace.record(
            "link.batch_share",
            answers.batch_percent / 100,
            link.source("batch_percent"),
        ),
    )
