"""Deltas between documents."""

import random

import pytest
from attrs import evolve

from arbutuslift.errors import DocumentError
from arbutuslift.protocol.delta import (
    apply_delta,
    compute_delta,
    document_hash,
)
from arbutuslift.protocol.document import (
    Configuration,
    DataCentre,
    Document,
    from_canonical_json,
    to_canonical_json,
)
from arbutuslift.protocol.messages import decode, encode

from ..builders import service


def _random_change(rng, entries, make):
    entries = list(entries)
    for _ in range(rng.randrange(4)):
        action = rng.randrange(3)
        if action == 0 or not entries:
            entries.insert(rng.randint(0, len(entries)), make(rng.randrange(10**6)))
        elif action == 1:
            entries.pop(rng.randrange(len(entries)))
        else:
            position = rng.randrange(len(entries))
            name = entries[position].name
            entries[position] = evolve(make(rng.randrange(10**6)), name=name)
    return tuple(entries)


def _service(number):
    return service(name=f"service-{number}", port=1 + number % 60000)


def _centre(number):
    return DataCentre(name=f"dc-{number}", in_service=bool(number % 2))


@pytest.mark.parametrize("seed", range(20))
def test_applying_the_delta_gives_the_target(seed):
    rng = random.Random(seed)
    document = Document()
    for revision in range(1, 30):
        base = Configuration(revision=revision, document=document)
        document = Document(
            services=_random_change(rng, document.services, _service),
            data_centres=_random_change(rng, document.data_centres, _centre),
        )
        target = Configuration(revision=revision + 1, document=document)
        delta = decode(encode(compute_delta(base, target)))
        assert apply_delta(base, delta) == target
        assert from_canonical_json(to_canonical_json(document)) == document


def test_reordered_entries_have_no_delta():
    services = (_service(1), _service(2), _service(3))
    base = Configuration(revision=1, document=Document(services=services))
    target = Configuration(revision=2, document=Document(services=services[::-1]))
    assert compute_delta(base, target) is None


def test_delta_for_another_base_is_refused():
    """Guards against a delta that is applied to a document it wasn't computed from."""
    base = Configuration(revision=1, document=Document(services=(_service(1),)))
    target = Configuration(
        revision=2, document=Document(services=(_service(1), _service(2)))
    )
    delta = compute_delta(base, target)
    with pytest.raises(DocumentError, match="not 3"):
        apply_delta(evolve(base, revision=3), delta)
    other = Configuration(revision=1, document=Document(services=(_service(3),)))
    with pytest.raises(DocumentError, match="hash"):
        apply_delta(other, delta)


def test_delta_of_one_changed_service_among_2100_is_small():
    services = tuple(_service(number) for number in range(2100))
    base = Configuration(revision=1, document=Document(services=services))
    changed = (*services[:7], evolve(services[7], warm_up_s=9.0), *services[8:])
    target = Configuration(revision=2, document=Document(services=changed))
    assert len(encode(compute_delta(base, target))) < 600
    assert document_hash(base.document) != document_hash(target.document)


@pytest.mark.parametrize("body", [b"", b"{", b"[]", b'{"a":1}', b"[" * 100000, b"\xff"])
def test_malformed_documents_are_refused(body):
    with pytest.raises(DocumentError):
        from_canonical_json(body)
