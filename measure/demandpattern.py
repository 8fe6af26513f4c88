"""Recorded demand of data centres, and what fails while it lasts."""

from collections.abc import Callable

from attrs import frozen


@frozen(kw_only=True)
class Centre:
    """A data centre of the model.

    Attributes:
        name: Name of the data centre.
        load: Demand of its callers over the capacity of ``reference_upstreams``, by
            time.
        upstreams: Upstreams that are eligible, by time.
        reference_upstreams: Upstreams that the load refers to.
        slowness: Factor of the time that requests take there, by time.
    """

    name: str
    load: Callable[[float], float]
    upstreams: Callable[[float], int]
    reference_upstreams: int = 20
    slowness: Callable[[float], float] = lambda now_s: 1.0


@frozen(kw_only=True)
class Pattern:
    """Recorded demand, and what fails while it lasts.

    Attributes:
        name: Name of the pattern.
        centres: The data centres.
        duration_s: Length of the record.
        row_delay_s: Time after which a row reaches another data centre.
        is_cut: Whether two data centres can't reach each other, by time.
        is_row_lost: Whether a row of the first is lost on its way to the second.
        out_of_service: Data centres that get nothing new, by time.
        noise: Standard deviation of the figures in rows, as a part of them.
    """

    name: str
    centres: tuple[Centre, ...]
    duration_s: float = 60.0
    row_delay_s: float = 1.0
    is_cut: Callable[[str, str, float], bool] = lambda one, other, now_s: False
    is_row_lost: Callable[[str, str, float], bool] = lambda one, other, now_s: False
    out_of_service: Callable[[float], frozenset[str]] = lambda now_s: frozenset()
    noise: float = 0.0
