"""Guards against histograms that misstate the observed values."""

from arbutuslift.histograms import Histogram, doubling_bounds


def test_values_are_counted_below_their_bound():
    histogram = Histogram((1.0, 2.0, 4.0))
    for value in (0.5, 1.0, 1.5, 4.0, 9.0):
        histogram.observe(value)
    assert histogram.counts == [2, 1, 1, 1]
    assert histogram.total == 16.0


def test_bounds_double():
    assert doubling_bounds(0.5, 4) == (0.5, 1.0, 2.0, 4.0)
