"""Figures about load, as entry instances report them and control adds them up."""

from attrs import frozen

from .starts import StartKey


@frozen(kw_only=True)
class UpstreamLoad:
    """Load of one start of an upstream in one interval, from callers' packets.

    Attributes:
        upstream_id: Identity of the upstream.
        born_ms: Start time of the upstream.
        open_flows: Flows at the end of the interval.
        outstanding: Requests without an answer, on average over the interval.
        answered: Requests answered in the interval.
        response_sum_ms: Sum of the response times of the answered requests.
        failures: Flows and requests that got no answer in time.
    """

    upstream_id: str
    born_ms: int
    open_flows: int
    outstanding: float
    answered: int
    response_sum_ms: int
    failures: int

    @property
    def key(self) -> StartKey:
        """Return the key of the start."""
        return (self.upstream_id, self.born_ms)


@frozen(kw_only=True)
class ServiceDemand:
    """Demand for one service at one instance in one interval.

    Attributes:
        service: Name of the service.
        arrivals: New flows, with those that were rejected.
        rejected: New flows that were rejected.
        remote: New flows that went to another data centre.
        outstanding: Requests without an answer, on average over the interval.
    """

    service: str
    arrivals: int
    rejected: int
    remote: int
    outstanding: float


@frozen(kw_only=True)
class ServiceLoad:
    """Load and capacity of one service in one data centre.

    The demand is that of the callers of this data centre, the capacity and what is
    outstanding at the upstreams are those of the upstreams in it.

    Attributes:
        service: Name of the service.
        data_centre: Name of the data centre.
        upstreams: Upstreams that accept new flows.
        slots: Requests that these process at the same time.
        outstanding: Requests without an answer at its upstreams, on average.
        demand_outstanding: Requests without an answer of its callers, on average.
        arrivals_per_s: New flows of its callers.
        rejected_per_s: New flows of its callers that were rejected.
        remote_per_s: New flows of its callers that went to another data centre.
        response_ms: Mean response time of its upstreams, 0 without answers.
        age_ms: Age of the figures when they were sent.
    """

    service: str
    data_centre: str
    upstreams: int
    slots: int
    outstanding: float
    demand_outstanding: float
    arrivals_per_s: float
    rejected_per_s: float
    remote_per_s: float
    response_ms: float
    age_ms: int
