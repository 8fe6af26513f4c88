"""Intervals of the replicated log."""

from attrs import frozen


@frozen(kw_only=True)
class AgreementTiming:
    """Intervals of the replicated log.

    Attributes:
        heartbeat_interval_s: Longest time between two requests of a leader to a
            follower. With 13 members 0.5 s would use most of the bandwidth limit of
            5 KB/s for control traffic.
        election_timeout_s: Shortest time without contact from a leader after which a
            follower starts an election; the longest is twice that.
        first_election_timeout_s: The same for a member that hasn't received a request
            from a leader since it started. It can be shorter, since after a power
            failure all members start at the same time, and a running leader sends a
            request within a heartbeat interval.
        first_election_spread: Longest of these first timeouts as a multiple of the
            shortest. If they are about as short as an election, a small one would let
            several members that start together ask for votes at once.
        request_timeout_s: Timeout of one request between members.
        submit_timeout_s: Timeout of a submission or read, over all attempts.
        catch_up_timeout_s: Timeout of the transfer of the log to a new member.
        retry_interval_s: Pause between attempts to reach a leader.
    """

    heartbeat_interval_s: float = 1.0
    election_timeout_s: float = 3.0
    first_election_timeout_s: float = 3.0
    first_election_spread: float = 2.0
    request_timeout_s: float = 1.0
    submit_timeout_s: float = 10.0
    catch_up_timeout_s: float = 60.0
    retry_interval_s: float = 0.1
