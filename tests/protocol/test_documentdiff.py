"""Differences between documents."""

from attrs import evolve
from hypothesis import given, settings

from arbutuslift.protocol.documentdiff import (
    DataCentreChanged,
    ServiceAdded,
    describe,
    diff,
    patch,
)

from .. import builders


@settings(derandomize=True, max_examples=100, deadline=None)
@given(builders.documents(), builders.documents())
def test_patch_of_the_differences_gives_the_new_document(old, new):
    changes = diff(old, new)
    assert patch(old, changes) == new
    assert (changes == []) == (old == new)
    assert all("\n" not in describe(change) for change in changes)


def test_changes_name_what_differs():
    old = builders.configuration().document
    left, right = old.data_centres
    added = builders.service(name="claims", address="127.10.0.2")
    new = evolve(
        old,
        services=(*old.services, added),
        data_centres=(left, evolve(right, in_service=False)),
    )
    assert diff(old, new) == [
        ServiceAdded(service=added),
        DataCentreChanged(name="dc-2", field="in_service", before=True, after=False),
    ]
