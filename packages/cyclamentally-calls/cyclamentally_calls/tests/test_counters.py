import pytest

from cyclamentally_calls.counters import Counters


@pytest.fixture
def counters():
    return Counters()


def test_counter_is_rendered_with_reason_label(counters):
    counters.add("requests_refused_total", "queue_full")
    counters.add("requests_refused_total", "queue_full")
    text = counters.render().decode()
    assert 'cyclamentally_requests_refused_total{reason="queue_full"} 2' in text


@pytest.mark.parametrize(
    ("seconds", "bound", "count"),
    [
        (0.3, "0.3", 1),
        (0.301, "0.3", 0),
        (0.301, "0.4", 1),
        (11.0, "10.0", 0),
        (11.0, "+Inf", 1),
    ],
)
def test_histogram_buckets_are_cumulative(counters, seconds, bound, count):
    counters.observe("call_seconds", "download", seconds)
    text = counters.render().decode()
    name = "cyclamentally_call_seconds_bucket"
    assert f'{name}{{kind="download",le="{bound}"}} {count}' in text


def test_histogram_has_sum_and_count(counters):
    counters.observe("call_seconds", "once", 0.25)
    counters.observe("call_seconds", "once", 0.5)
    text = counters.render().decode()
    assert 'cyclamentally_call_seconds_sum{kind="once"} 0.75' in text
    assert 'cyclamentally_call_seconds_count{kind="once"} 2' in text
