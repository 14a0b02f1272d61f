import pathlib

import attrs
import msgspec
import pytest

from pomeloshift.config import (
    ServiceKind,
    decode_configuration,
    encode_configuration,
)
from pomeloshift.questionnaire import (
    EXAMPLE_NAMES,
    AnswersError,
    UnknownExampleError,
    example_text,
    explain,
    generate,
    load_example,
    parse_answers,
    render_answers,
)
from pomeloshift.settings import FaultCode

EXAMPLES = pathlib.Path(__file__).parent.parent / "examples"
LEAF_TUPLES = ("availability_zones", "unrepeatable_calls")


@pytest.fixture(params=EXAMPLE_NAMES)
def answers(request):
    return load_example(request.param)


def leaf_paths(value, path=""):
    """Yields the paths of all values; a tuple of scalars or patterns is one value."""
    if attrs.has(type(value)):
        for field in attrs.fields(type(value)):
            inner = f"{path}.{field.name}" if path else field.name
            yield from leaf_paths(getattr(value, field.name), inner)
    elif isinstance(value, tuple) and not path.endswith(LEAF_TUPLES):
        for index, item in enumerate(value):
            yield from leaf_paths(item, f"{path}[{index}]")
    else:
        yield path


def faults_of(text):
    with pytest.raises(AnswersError) as caught:
        parse_answers(text, "f.jsonc")
    return caught.value.faults


@pytest.mark.parametrize("name", EXAMPLE_NAMES)
def test_examples_at_the_root_equal_the_packaged_ones(name):
    assert (EXAMPLES / f"{name}.jsonc").read_text("utf-8") == example_text(name)


def test_unknown_example_is_refused():
    with pytest.raises(UnknownExampleError):
        load_example("other")


def test_rendered_answers_read_back(answers):
    text = render_answers(answers)
    assert parse_answers(text) == answers
    assert "// Which services does it run?" in text


def test_every_value_of_the_configuration_is_explained(answers):
    explanations = explain(answers)
    assert {e.path for e in explanations} == set(leaf_paths(generate(answers)))
    assert all(e.sources and e.question and e.answer for e in explanations)


def test_generated_configuration_survives_the_codec(answers):
    cfg = generate(answers)
    assert decode_configuration(encode_configuration(cfg)) == cfg
    assert generate(answers) == cfg


def test_configuration_of_an_example(answers, snapshot):
    assert msgspec.to_builtins(generate(answers)) == snapshot


def test_examples_have_the_deployments_sizes():
    vezi, kalivati = (generate(load_example(n)) for n in ("vezi", "kalivati"))
    for cfg, service, count in ((vezi, "vezi-lm", 5), (kalivati, "hive-assist", 6)):
        servers = [s for s in cfg.backend_servers if s.service == service]
        assert len(servers) == count
        assert {s.checks_fencing for s in servers} == {True, False}
        assert sum(len(r.availability_zones) for r in cfg.regions) == 3
        assert cfg.link.bytes_per_s == 15e6 / 8
        plain = [s for s in cfg.services if s.kind is ServiceKind.PLAIN]
        assert not plain[0].is_repeatable("POST", "/send")
        assert plain[0].is_repeatable("GET", "/status")


def test_different_tolerances_give_different_weights_and_shares():
    vezi, kalivati = (generate(load_example(n)) for n in ("vezi", "kalivati"))
    assert vezi.service("vezi-lm").batch_weight > 0.5
    assert kalivati.service("hive-assist").batch_weight < 0.5
    assert vezi.link.batch_share > kalivati.link.batch_share == 0


def test_shared_service_meets_the_requirements_of_all_applications():
    service = generate(load_example("vezi")).service("vezi-lm")
    assert service.first_token_target_s == 0.7
    assert service.between_tokens_target_s == 0.04
    assert service.online_deadline_s == 60.0
    assert service.max_output_tokens == 1200


BAD_CHANGES = {
    '"service": "vezi-lm"': ('"service": "vezi"', "applications[0].service"),
    '"batch_percent": 10': ('"batch_percent": 60', "link.batch_percent"),
    '"results_kept_days": 7': ('"results_kept_days": 0', "results_kept_days"),
    '"name": "shift-foremen"': ('"name": "sewing-stations"', "workspaces[1].name"),
    '"maribor-a"': ('"kranj-a"', "regions[1].availability_zones[0]"),
    '"kind": "plain"': ('"kind": "other"', "services[1].kind"),
    '"first_reply_s": 0.7': ('"first_reply_s": "now"', "applications[0].first_reply_s"),
    '"give_up_s": 60': ('"give_up_s": 1', "applications[1].give_up_s"),
    '"late_batch": "nuisance"': ('"late": 1', "applications[0].late"),
    '"key_id": "op-bor"': ('"key_id": "op-ana"', "operators[1].key.key_id"),
}


def test_all_faults_are_reported_at_once_with_path_line_and_remedy():
    text = example_text("vezi")
    for old, (new, _) in BAD_CHANGES.items():
        assert old in text
        text = text.replace(old, new, 1)
    faults = faults_of(text)
    assert {f.path for f in faults} == {path for _, path in BAD_CHANGES.values()}
    assert all(f.remedy and f.line > 1 for f in faults)
    assert {f.code for f in faults} == {
        FaultCode.UNKNOWN_REFERENCE,
        FaultCode.INCONSISTENT,
        FaultCode.OUT_OF_RANGE,
        FaultCode.DUPLICATE,
        FaultCode.WRONG_TYPE,
        FaultCode.UNKNOWN_KEY,
    }


def test_service_without_application_is_refused():
    old, new = '"service": "schedule-desk"', '"service": "vezi-lm"'
    faults = faults_of(example_text("vezi").replace(old, new))
    assert [f.path for f in faults] == ["services[1].name"]


@pytest.mark.parametrize("text", ["", "[]", "3", "{}", '{"regions": 4, "link": []}'])
def test_text_that_is_no_questionnaire_is_refused(text):
    assert faults_of(text)
