"""Configurations as the replicated state keeps them: documents are opaque bytes."""

from attrs import frozen


@frozen(kw_only=True)
class Submission:
    """An operator's request to accept a document.

    Attributes:
        document: The document in its canonical JSON form.
        expected_revision: Revision on which the operator based the document.
        request_id: Chosen by the client, the same for every resend.
        author: Name of the operator.
        submitted_at_s: Seconds since the Unix epoch at the client.
    """

    document: bytes
    expected_revision: int
    request_id: str
    author: str
    submitted_at_s: float


@frozen(kw_only=True)
class StoredRevision:
    """An accepted document.

    Attributes:
        revision: Its number; the first is 1.
        submission: The submission that was accepted.
    """

    revision: int
    submission: Submission
