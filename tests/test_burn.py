import attrs
import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from pomeloshift.config import Configuration, ServiceConfig, ServiceKind
from pomeloshift.errors import ErrorCode
from pomeloshift.log import Record, RecordCodec
from pomeloshift.model import Priority
from pomeloshift.questionnaire import generate, load_example
from pomeloshift.report import (
    BurnHistory,
    BurnRecorder,
    BurnRollup,
    BurnSummary,
    Histograms,
    Indicator,
    RequestSample,
    SpendCause,
    compute_report,
    evaluate,
    render_html,
    render_text,
)

NOW = 1_700_000_000.0
HOUR_S = 3600
SERVICE = ServiceConfig("lm")
CFG = Configuration("vezi", services=(SERVICE,))
GOOD = RequestSample("lm", "team", first_token_s=0.2, between_tokens_s=0.02)


def bad(cause):
    slow = attrs.evolve(GOOD, first_token_s=2.0)
    return {
        SpendCause.BATCH_HARM: attrs.evolve(slow, batch_streams=3),
        SpendCause.OVERLOAD: slow,
        SpendCause.BACKEND_FAULT: attrs.evolve(slow, retries=1, batch_streams=3),
        SpendCause.CROSS_REGION: attrs.evolve(slow, crossed_region=True),
    }[cause]


def report_of(samples, now=NOW, cfg=CFG):
    """Returns the report on the (age in seconds, sample) pairs of one entry."""
    recorder = BurnRecorder("e1")
    for age, sample in samples:
        recorder.record(sample, cfg, now - age)
    return compute_report(cfg, BurnHistory(), [recorder.pending()], now)


def find(report, indicator=Indicator.FIRST_TOKEN, workspace=""):
    (found,) = (
        item
        for item in report.objectives
        if (item.indicator, item.workspace) == (indicator, workspace)
        and item.priority == "online"
    )
    return found


@pytest.mark.parametrize("cause", list(SpendCause)[:4])
def test_slow_first_token_has_a_cause(cause):
    results = {r.indicator: r.cause for r in evaluate(bad(cause), SERVICE)}
    assert results == {
        Indicator.ANSWERED: None,
        Indicator.FIRST_TOKEN: cause,
        Indicator.BETWEEN_TOKENS: None,
    }


@pytest.mark.parametrize(
    ("error", "cause"),
    [
        (ErrorCode.OVERLOADED, SpendCause.OVERLOAD),
        (ErrorCode.BACKEND_SERVER_LOST, SpendCause.BACKEND_FAULT),
        (ErrorCode.OUTCOME_UNKNOWN, SpendCause.BACKEND_FAULT),
        (ErrorCode.INTERNAL, SpendCause.OTHER),
    ],
)
def test_failed_request_counts_only_as_unanswered(error, cause):
    (result,) = evaluate(attrs.evolve(GOOD, error=error), SERVICE)
    assert (result.indicator, result.cause) == (Indicator.ANSWERED, cause)


def test_every_error_code_is_evaluated():
    for code in ErrorCode:
        assert len(evaluate(attrs.evolve(GOOD, error=code), SERVICE)) in (0, 1)
    assert evaluate(attrs.evolve(GOOD, error=ErrorCode.RATE_LIMITED), SERVICE) == []


def test_time_at_the_target_is_good():
    at_target = attrs.evolve(GOOD, first_token_s=0.7, between_tokens_s=0.04)
    assert all(r.cause is None for r in evaluate(at_target, SERVICE))


def test_burn_rate_of_one_spends_the_budget_exactly():
    samples = [(60, GOOD)] * 95 + [(60, bad(SpendCause.OVERLOAD))] * 5
    item = find(report_of(samples))
    assert [w.burn for w in item.windows] == [1.0] * 4
    assert item.budget_left == 0.0
    assert item.slow_alert
    assert not item.fast_alert


def test_fast_alert_needs_the_short_and_the_long_window():
    burst = [(60, bad(SpendCause.OVERLOAD))] * 40 + [(60, GOOD)] * 60
    assert find(report_of(burst)).fast_alert
    earlier = [(1800, GOOD)] * 200
    item = find(report_of(burst + earlier))
    assert item.windows[0].burn == 8.0
    assert not item.fast_alert
    past_burst = [(1800 + age, sample) for age, sample in burst]
    assert not find(report_of(past_burst)).fast_alert


def test_each_window_counts_the_requests_within_it():
    ages = (30, 1200, 3 * HOUR_S, 20 * HOUR_S, 71 * HOUR_S)
    item = find(report_of([(age, GOOD) for age in ages]))
    assert [w.good for w in item.windows] == [1, 2, 3, 5]


def test_bad_requests_are_split_by_cause_and_workspace():
    samples = [(60, bad(cause)) for cause in list(SpendCause)[:4]]
    other = attrs.evolve(GOOD, workspace="other")
    report = report_of([*samples, (60, other)])
    causes = {share.cause: share.requests for share in find(report).spent}
    assert causes == dict.fromkeys(list(SpendCause)[:4], 1)
    assert find(report, workspace="other").spent == ()
    assert find(report, workspace="team").windows[0].bad == 4
    assert find(report, workspace="other").windows[0].good == 1


def test_batch_requests_have_no_time_objectives():
    sample = attrs.evolve(bad(SpendCause.OVERLOAD), priority=Priority.BATCH)
    report = report_of([(60, sample)])
    assert {item.indicator for item in report.objectives} == {Indicator.ANSWERED}


def test_plain_services_have_no_between_tokens_objective():
    cfg = Configuration("vezi", services=(ServiceConfig("desk", ServiceKind.PLAIN),))
    sample = RequestSample("desk", "team", first_token_s=0.2)
    report = report_of([(60, sample)], cfg=cfg)
    assert {item.indicator for item in report.objectives} == {
        Indicator.ANSWERED,
        Indicator.FIRST_TOKEN,
    }


def test_percentiles_are_exact_to_two_significant_digits():
    histograms = Histograms()
    for position in range(1, 1001):
        histograms.record("lm", "online", Indicator.FIRST_TOKEN, position / 1000)
    histograms.record("lm", "online", Indicator.FIRST_TOKEN, 1e9)
    p95 = histograms.percentile("lm", "online", Indicator.FIRST_TOKEN, 95)
    assert p95 == pytest.approx(0.95, rel=0.01)
    top = histograms.percentile("lm", "online", Indicator.FIRST_TOKEN, 100)
    assert top == pytest.approx(60, rel=0.01)
    assert histograms.percentile("x", "online", Indicator.FIRST_TOKEN, 95) is None


def test_summary_is_pending_until_confirmed():
    recorder = BurnRecorder("e1")
    assert recorder.summarize() is None
    recorder.record(GOOD, CFG, NOW)
    summary = recorder.summarize()
    recorder.record(GOOD, CFG, NOW)
    assert sum(c.good[0] for c in recorder.pending().cells) == 2
    recorder.confirm(summary)
    assert sum(c.good[0] for c in recorder.pending().cells) == 1


def test_records_survive_the_codec():
    codec = RecordCodec([BurnSummary, BurnRollup])
    recorder = BurnRecorder("e1")
    recorder.record(bad(SpendCause.OVERLOAD), CFG, NOW)
    summary = recorder.summarize()
    rollup = BurnRollup(0, summary.cells, summary.histograms)
    for body in (summary, rollup):
        assert codec.decode(codec.encode(Record("r", body))).body == body


def summaries(count, start):
    """Yields summaries of two entries, one a minute; one request in four is bad."""
    for number in range(count):
        recorder = BurnRecorder(f"e{number % 2}")
        at = start + number * 60
        for _ in range(3):
            recorder.record(GOOD, CFG, at)
        recorder.record(bad(SpendCause.BATCH_HARM), CFG, at)
        yield Record(f"r{number}", recorder.summarize())


def test_history_counts_each_record_of_all_entries_once():
    history = BurnHistory()
    for record in summaries(30, NOW - 1800):
        history.apply(record, NOW)
        history.apply(record, NOW)
    item = find(compute_report(CFG, history, [], NOW))
    assert (item.windows[1].good, item.windows[1].bad) == (90, 30)
    assert item.p95_s == pytest.approx(2.0, rel=0.01)


@given(st.integers(0, 120), st.booleans())
def test_rollup_replaces_expired_summaries(expired, late):
    start = NOW - NOW % HOUR_S - 4 * HOUR_S
    records = list(summaries(120, start))
    whole = BurnHistory()
    for record in records:
        whole.apply(record, NOW)
    rollups = [
        Record(f"rollup{n}", body) for n, body in enumerate(whole.due_rollups(NOW, 1e9))
    ]
    assert len(rollups) == 2
    reader = BurnHistory()
    kept = records[expired:]
    for record in [*kept, *rollups] if late else [*rollups, *kept]:
        reader.apply(record, NOW)
    for history in (whole, reader):
        item = find(compute_report(CFG, history, [], NOW))
        assert (item.windows[2].good, item.windows[2].bad) == (360, 120)


def test_rollups_are_due_once_per_interval():
    history = BurnHistory()
    for record in summaries(10, NOW - 3 * HOUR_S):
        history.apply(record, NOW)
    (rollup,) = history.due_rollups(NOW, 6 * HOUR_S)
    history.apply(Record("rollup", rollup), NOW)
    assert history.due_rollups(NOW + HOUR_S, 6 * HOUR_S) == []
    assert len(history.due_rollups(NOW + 7 * HOUR_S, 6 * HOUR_S)) == 1
    assert history.due_rollups(NOW + 80 * HOUR_S, 6 * HOUR_S)


def test_history_older_than_three_days_is_dropped():
    history = BurnHistory()
    for record in summaries(10, NOW - 80 * HOUR_S):
        history.apply(record, NOW)
    assert history.cells() == ([], [])


def test_text_and_html_show_every_objective():
    cfg = generate(load_example("vezi"))
    good = attrs.evolve(GOOD, service="vezi-lm", workspace="<b>")
    slow = attrs.evolve(bad(SpendCause.BATCH_HARM), service="vezi-lm")
    report = report_of([(60, good)] * 3 + [(60, slow)] * 2, cfg=cfg)
    text = render_text(report)
    assert "95% first token within 0.7 s" in text
    assert "95% between tokens within 40 ms" in text
    assert "FAST" in text
    assert "batch harm 100%" in text
    page = render_html(report, "now")
    assert page.count("<svg") > 5
    assert "fast alert" in page
    assert "<b>" not in page
    assert "http" not in page
    decoded = msgspec.json.decode(msgspec.json.encode(report), type=type(report))
    assert decoded == report


def test_empty_report_says_so():
    report = report_of([])
    assert report.objectives == ()
    assert "no requests" in render_text(report)
    assert "No requests" in render_html(report, "now")
