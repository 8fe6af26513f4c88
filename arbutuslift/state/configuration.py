"""Replicated configuration state, in which documents are opaque bytes."""

import hashlib
import zlib
from collections import OrderedDict, deque
from enum import Enum

from attrs import evolve, frozen

from ..errors import StorageError
from .codec import decode_value, encode_value

# A document of 2,100 services and 1,500 instances takes about 0.6 MB. An answer that
# carries a document has to fit into a message of 4 MiB.
MAX_DOCUMENT_BYTES = 2 * 1024 * 1024
MAX_HISTORY = 100
MAX_ANSWERS = 10_000
_DIGEST_BYTES = 16


@frozen(kw_only=True)
class Submission:
    """An operator's request to accept a document.

    Attributes:
        document: The document in its canonical JSON form.
        expected_revision: Revision on which the operator based the document.
        request_id: Identifier that the client assigned, the same for every resend.
        author: Name of the operator.
        submitted_at_s: Time at the client, in seconds since the Unix epoch.
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


class SubmissionOutcome(Enum):
    """Outcome of a submission."""

    ACCEPTED = "accepted"
    CONFLICT = "conflict"
    REUSED = "request_id reused"


@frozen(kw_only=True)
class Decision:
    """Answer to a submission.

    Attributes:
        outcome: Outcome of the submission.
        stored: The accepted revision, or the current one; None if there is none.
    """

    outcome: SubmissionOutcome
    stored: StoredRevision | None


@frozen(kw_only=True)
class FirstAnswer:
    """First answer to a request_id.

    Attributes:
        request_id: Identifier of the request.
        accepted: Whether the submission was accepted.
        revision: The accepted revision, or the current one at that time.
        digest: Digest of the document and the expected revision.
    """

    request_id: str
    accepted: bool
    revision: int
    digest: bytes


@frozen(kw_only=True)
class _Content:
    """Contents of a snapshot; the history consists of encoded submissions."""

    revision: int
    history: tuple[bytes, ...]
    answers: tuple[FirstAnswer, ...]


def encode_submission(submission: Submission) -> bytes:
    """Return a submission as the body of a log entry, its document compressed."""
    document = zlib.compress(submission.document)
    return encode_value(evolve(submission, document=document))


def decode_submission(body: bytes) -> Submission:
    """Return the submission in the body of a log entry.

    Raises:
        StorageError: The body is malformed.
    """
    stored = decode_value(body, Submission)
    try:
        return evolve(stored, document=zlib.decompress(stored.document))
    except zlib.error as error:
        raise StorageError(str(error), step="decode Submission") from error


class ConfigurationState:
    """Deterministic result of applying submissions in log order.

    A submission is accepted if its expected revision is the newest one. Because
    the newest revision only grows, no submission is accepted twice, even after its
    answer was evicted.

    A resend gets the first answer: an accepted request gets its revision, and a
    conflicting request gets the conflict again, even if its expected revision has
    become the newest one since. The conflict contains the revision that was current
    at the first answer as long as the history holds it, later the newest one. A
    request_id is refused if it is reused with another document or expected revision.
    """

    def __init__(self) -> None:
        self._revision = 0
        self._newest: StoredRevision | None = None
        # The submissions are compressed: 100 documents of the target scale would take
        # 50 MB, and compressing them for a snapshot would block the process for 1 s.
        self._history: deque[bytes] = deque(maxlen=MAX_HISTORY)
        self._answers: OrderedDict[str, FirstAnswer] = OrderedDict()

    @property
    def revision(self) -> int:
        """Return the number of the newest revision, 0 if there is none."""
        return self._revision

    @property
    def newest(self) -> StoredRevision | None:
        """Return the newest revision."""
        return self._newest

    def history(self, limit: int) -> list[StoredRevision]:
        """Return the newest revisions, newest first."""
        count = min(max(0, limit), len(self._history))
        return self.revisions_since(self._revision - count)[::-1]

    def revisions_since(self, revision: int) -> list[StoredRevision]:
        """Return the revisions after ``revision`` that the history holds, in order."""
        oldest = max(revision, self._revision - len(self._history)) + 1
        return [self._find(number) for number in range(oldest, self._revision + 1)]

    def first_decision(self, submission: Submission) -> Decision | None:
        """Return the first decision on the request, None if there was none."""
        answer = self._answers.get(submission.request_id)
        if answer is None:
            return None
        if answer.digest != _digest(submission):
            return Decision(outcome=SubmissionOutcome.REUSED, stored=self.newest)
        stored = self._find(answer.revision)
        if not answer.accepted:
            current = stored or self.newest
            return Decision(outcome=SubmissionOutcome.CONFLICT, stored=current)
        # The resend contains the same document, so it needn't be in the history.
        fallback = StoredRevision(revision=answer.revision, submission=submission)
        return Decision(outcome=SubmissionOutcome.ACCEPTED, stored=stored or fallback)

    def apply(self, submission: Submission) -> Decision:
        """Accept or reject a submission and record the answer."""
        return self.apply_encoded(encode_submission(submission))

    def apply_encoded(self, body: bytes) -> Decision:
        """Apply the submission in the body of a log entry.

        Raises:
            StorageError: The body is malformed.
        """
        submission = decode_submission(body)
        first = self.first_decision(submission)
        if first is not None:
            return first
        accepted = submission.expected_revision == self._revision
        if accepted:
            self._revision += 1
            self._newest = StoredRevision(
                revision=self._revision, submission=submission
            )
            self._history.append(body)
        self._record_answer(submission, accepted)
        outcome = SubmissionOutcome.ACCEPTED if accepted else SubmissionOutcome.CONFLICT
        return Decision(outcome=outcome, stored=self.newest)

    def encode(self) -> bytes:
        """Return the state for a snapshot."""
        content = _Content(
            revision=self._revision,
            history=tuple(self._history),
            answers=tuple(self._answers.values()),
        )
        return encode_value(content)

    @staticmethod
    def decode(body: bytes) -> "ConfigurationState":
        """Return the state in a snapshot; empty bytes give an empty state.

        Raises:
            StorageError: The bytes are malformed.
        """
        state = ConfigurationState()
        if not body:
            return state
        content = decode_value(body, _Content)
        state._revision = content.revision
        state._history.extend(content.history)
        state._newest = state._decode(content.revision)
        for answer in content.answers:
            state._answers[answer.request_id] = answer
        return state

    def _find(self, revision: int) -> StoredRevision | None:
        newest = self._newest
        if newest is not None and newest.revision == revision:
            return newest
        return self._decode(revision)

    def _decode(self, revision: int) -> StoredRevision | None:
        position = revision - 1 - (self._revision - len(self._history))
        if not 0 <= position < len(self._history):
            return None
        submission = decode_submission(self._history[position])
        return StoredRevision(revision=revision, submission=submission)

    def _record_answer(self, submission: Submission, accepted: bool) -> None:
        self._answers[submission.request_id] = FirstAnswer(
            request_id=submission.request_id,
            accepted=accepted,
            revision=self._revision,
            digest=_digest(submission),
        )
        while len(self._answers) > MAX_ANSWERS:
            self._answers.popitem(last=False)


def _digest(submission: Submission) -> bytes:
    hashed = hashlib.sha256(str(submission.expected_revision).encode() + b"\n")
    hashed.update(submission.document)
    return hashed.digest()[:_DIGEST_BYTES]
