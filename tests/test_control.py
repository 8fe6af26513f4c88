"""Guards against a forged announcement that ends an upstream in use."""

import pytest

from arbutuslift.control import check_service
from arbutuslift.errors import AnnouncementError

from .builders import routing_table, start


def test_a_start_of_an_unknown_service_is_refused():
    with pytest.raises(AnnouncementError):
        check_service(start(1, service="none"), routing_table())


def test_a_start_of_a_known_service_passes():
    check_service(start(1), routing_table())


@pytest.mark.parametrize("table", [None, routing_table(services=())])
def test_before_the_first_configuration_every_service_passes(table):
    check_service(start(1, service="none"), table)
