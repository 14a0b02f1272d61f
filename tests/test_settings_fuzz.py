import contextlib
import json
import operator
from functools import reduce

import pytest
from hypothesis import given
from hypothesis import strategies as st

from pomeloshift.config import decode_configuration, encode_configuration
from pomeloshift.questionnaire import (
    AnswersError,
    example_text,
    generate,
    parse_answers,
)
from pomeloshift.settings import (
    EntrySettings,
    SettingsError,
    SidecarSettings,
    parse_json,
    parse_settings,
)

EXAMPLE = parse_json(example_text("vezi"))
SCALARS = st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=5)
VALUES = st.recursive(
    SCALARS,
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(st.text(max_size=5), inner, max_size=3)
    ),
    max_leaves=6,
)


def value_paths(data, path=()):
    """Yields the path of every value in a document."""
    yield path
    items = data.items() if isinstance(data, dict) else enumerate(data)
    if isinstance(data, dict | list):
        for key, value in items:
            if isinstance(value, dict | list):
                yield from value_paths(value, (*path, key))
            else:
                yield (*path, key)


PATHS = [path for path in value_paths(EXAMPLE) if path]


def value_at(path):
    return reduce(operator.getitem, path, EXAMPLE)


def with_value(data, path, value):
    if not path:
        return value
    copy = dict(data) if isinstance(data, dict) else list(data)
    copy[path[0]] = with_value(copy[path[0]], path[1:], value)
    return copy


@given(st.text(alphabet='{}[]",:/*\\ \n1e.-truefalsn', max_size=60) | st.text())
def test_random_text_has_faults(text):
    for parse in (
        parse_answers,
        lambda text: parse_settings(text, EntrySettings),
        lambda text: parse_settings(text, SidecarSettings),
    ):
        with pytest.raises(SettingsError) as caught:
            parse(text)
        assert caught.value.faults


@given(st.sampled_from(PATHS), VALUES)
def test_any_answer_gives_a_configuration_or_faults(path, value):
    text = json.dumps(with_value(EXAMPLE, path, value))
    with contextlib.suppress(AnswersError):
        cfg = generate(parse_answers(text))
        assert decode_configuration(encode_configuration(cfg)) == cfg


NUMBERS = [path for path in PATHS if type(value_at(path)) in (int, float)]


@given(st.sampled_from(NUMBERS), st.floats() | st.integers() | st.floats(0, 100))
def test_any_number_gives_a_configuration_or_faults(path, value):
    test_any_answer_gives_a_configuration_or_faults.hypothesis.inner_test(path, value)


@pytest.mark.parametrize("number", ["1e400", "9" * 400, "9" * 5000, "-1e400"])
def test_numbers_beyond_range_are_refused(number):
    text = example_text("vezi").replace('"give_up_s": 30', f'"give_up_s": {number}')
    with pytest.raises(AnswersError) as caught:
        parse_answers(text)
    assert caught.value.faults


@pytest.mark.parametrize("text", ["[" * 100_000, '{"a":' * 50_000, "/*" * 50_000])
def test_deeply_nested_documents_are_refused(text):
    with pytest.raises(SettingsError):
        parse_settings(text, EntrySettings)


def test_long_unclosed_strings_are_refused_quickly():
    with pytest.raises(SettingsError):
        parse_settings('{"a": "' + "\\" * 200_001, EntrySettings)
