"""Distribution of the configuration in effect between instances."""

import asyncio

import structlog

from ...errors import (
    ArbutusliftError,
    DocumentError,
    MessageError,
    PeerFailure,
    PeerTimeout,
)
from ...protocol.channel import Channel
from ...protocol.delta import (
    apply_delta,
    document_hash,
)
from ...protocol.document import (
    Configuration,
    from_canonical_json,
    to_canonical_json,
)
from ...protocol.gossip import (
    DocumentPage,
    DocumentPageWanted,
    RevisionDelta,
    RevisionNews,
    RevisionWanted,
)
from ...protocol.messages import Message, encode
from ..bandwidth import BandwidthLimiter
from .activeconfiguration import ActiveConfiguration
from .peers import PeerSelector

# If each instance pushes to four random peers, about 2% of the instances receive no
# push; those fetch the revision after a digest of one of the next gossip rounds.
PUSH_PEERS = 4
MAX_PUSH_BYTES = 1200
PAGE_BYTES = 60 * 1024
# Bounds the memory that a faulty peer can use up.
MAX_DOCUMENT_BYTES = 16 * 1024 * 1024
TIMEOUT_S = 1.0

_log = structlog.get_logger()


class RevisionDistributor:
    """Pushes a new revision to random peers and fetches newer ones from peers.

    Args:
        channel: Connection to the peers.
        peers: Selects random peers.
        active_configuration: Configuration in effect.
        bandwidth: Limit on control traffic; revisions are charged but never delayed.
    """

    def __init__(
        self,
        channel: Channel,
        peers: PeerSelector,
        active_configuration: ActiveConfiguration,
        bandwidth: BandwidthLimiter,
    ) -> None:
        self._channel = channel
        self._peers = peers
        self._active_configuration = active_configuration
        self._bandwidth = bandwidth
        self._encoded_documents: dict[int, tuple[bytes, int]] = {}
        self._pull: asyncio.Task[None] | None = None
        self._pushes: set[asyncio.Task[None]] = set()
        self._is_accepting = False
        channel.register_handler(RevisionDelta, self._on_delta)
        channel.register_handler(RevisionNews, self._on_news)
        channel.register_handler(RevisionWanted, self._answer_wanted)
        channel.register_handler(DocumentPageWanted, self._answer_page)
        active_configuration.on_change(self._start_push)

    @property
    def revision(self) -> int:
        """Return the revision in effect."""
        return self._active_configuration.revision

    def accept_from_peers(self) -> None:
        """Accept revisions from any peer from now on.

        Before it has joined, an instance accepts a revision only through
        :class:`Join`, since a single peer may be behind.
        """
        self._is_accepting = True

    def fetch_if_newer(self, peer: str, revision: int) -> None:
        """Start to fetch the revision of a peer if it is newer.

        Args:
            peer: Name of the peer.
            revision: Revision in effect at the peer.
        """
        is_pulling = self._pull is not None and not self._pull.done()
        if not self._is_accepting or is_pulling or revision <= self.revision:
            return
        self._pull = asyncio.create_task(self._pull_from(peer))

    async def fetch(self, peer: str) -> None:
        """Fetch the revision in effect at a peer and put it in effect here.

        Raises:
            PeerTimeout: Neither the peer nor the alternative peers answered.
            PeerFailure: The peer failed.
            DocumentError: The peer sent a malformed document or delta.
            MessageError: The peer sent a malformed answer.
        """
        wanted = RevisionWanted(have_revision=self.revision)
        answer = await self._channel.request(peer, wanted, TIMEOUT_S)
        if isinstance(answer, RevisionDelta):
            try:
                self._active_configuration.activate_if_newer(
                    apply_delta(self._active_configuration.configuration, answer)
                )
                return
            except DocumentError as error:
                _log.warning("delta_refused", peer=peer, error=str(error))
                if answer.base_revision != wanted.have_revision:
                    raise
            await self._fetch_document(peer, answer.revision)
        elif isinstance(answer, RevisionNews) and answer.revision > self.revision:
            await self._fetch_document(peer, answer.revision)

    async def close(self) -> None:
        """Cancel pushes and fetches that are in progress."""
        tasks = [*self._pushes, *([self._pull] if self._pull else [])]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def _pull_from(self, peer: str) -> None:
        try:
            await self.fetch(peer)
        except ArbutusliftError as error:
            _log.info("revision_not_fetched", peer=peer, error=str(error))

    async def _fetch_document(self, peer: str, revision: int) -> None:
        body = b""
        others = [
            record.name for record in self._peers.sample_alive(2) if record.name != peer
        ]
        while True:
            wanted = DocumentPageWanted(revision=revision, offset=len(body))
            try:
                page = await self._channel.request(peer, wanted, TIMEOUT_S)
            except (PeerTimeout, PeerFailure):
                if not others:
                    raise
                peer = others.pop()
                continue
            if not isinstance(page, DocumentPage):
                raise MessageError(
                    "answer is not a DocumentPage", step="fetch document", peer=peer
                )
            if page.revision != revision or not page.data:
                if not others:
                    raise DocumentError(
                        f"revision {revision} is no longer retained",
                        step="fetch document",
                        peer=peer,
                    )
                peer = others.pop()
                continue
            body += page.data
            if len(body) > min(page.size_bytes, MAX_DOCUMENT_BYTES):
                raise DocumentError(
                    "document too large", step="fetch document", peer=peer
                )
            if len(body) == page.size_bytes:
                break
        document = from_canonical_json(body)
        if document_hash(document) != page.result_hash:
            raise DocumentError(
                "document hash mismatch", step="fetch document", peer=peer
            )
        self._active_configuration.activate_if_newer(
            Configuration(revision=revision, document=document)
        )

    def _start_push(self, configuration: Configuration) -> None:
        try:
            task = asyncio.get_running_loop().create_task(self._push(configuration))
        except RuntimeError:
            # No event loop runs yet; the first gossip rounds distribute the revision.
            return
        self._pushes.add(task)
        task.add_done_callback(self._pushes.discard)

    async def _push(self, configuration: Configuration) -> None:
        message: Message = RevisionNews(revision=configuration.revision)
        delta = self._active_configuration.delta_from(configuration.revision - 1)
        if delta and len(encode(delta)) <= MAX_PUSH_BYTES:
            message = delta
        for peer in self._peers.sample_alive(PUSH_PEERS):
            self._bandwidth.charge(len(encode(message)))
            await self._channel.send(peer.name, message)

    async def _on_delta(self, peer: str, delta: RevisionDelta) -> None:
        if not self._is_accepting or delta.base_revision != self.revision:
            self.fetch_if_newer(peer, delta.revision)
            return
        try:
            self._active_configuration.activate_if_newer(
                apply_delta(self._active_configuration.configuration, delta)
            )
        except DocumentError as error:
            _log.warning("delta_refused", peer=peer, error=str(error))
            self.fetch_if_newer(peer, delta.revision)

    async def _on_news(self, peer: str, news: RevisionNews) -> None:
        self.fetch_if_newer(peer, news.revision)

    async def _answer_wanted(self, peer: str, wanted: RevisionWanted) -> Message:
        if wanted.have_revision < self.revision:
            delta = self._active_configuration.delta_from(wanted.have_revision)
            if delta and len(encode(delta)) <= PAGE_BYTES:
                self._bandwidth.charge(len(encode(delta)))
                return delta
        return RevisionNews(revision=self.revision)

    async def _answer_page(self, peer: str, wanted: DocumentPageWanted) -> DocumentPage:
        body, result_hash = self._encoded_document(wanted.revision)
        offset = max(0, wanted.offset)
        data = body[offset : offset + PAGE_BYTES]
        self._bandwidth.charge(len(data))
        return DocumentPage(
            revision=wanted.revision if body else 0,
            size_bytes=len(body),
            result_hash=result_hash,
            data=data,
        )

    def _encoded_document(self, revision: int) -> tuple[bytes, int]:
        if revision not in self._encoded_documents:
            configuration = self._active_configuration.configuration_at(revision)
            if configuration is None:
                return b"", 0
            document = configuration.document
            self._encoded_documents = {
                revision: (to_canonical_json(document), document_hash(document))
            }
        return self._encoded_documents[revision]
