"""Takes announcements of upstreams into the view."""

import cattrs

from ..errors import AnnouncementError
from ..state.upstreams import UpstreamRecord
from .services import ServiceTable


class Registrar:
    """Checks announcements and updates the services that they concern.

    Args:
        services: Services and upstreams.
    """

    def __init__(self, services: ServiceTable) -> None:
        self._services = services
        self._converter = cattrs.Converter(forbid_extra_keys=True)

    def accept(self, content: object) -> None:
        """Take one announcement.

        Args:
            content: Fields of :class:`UpstreamRecord` as plain values.

        Raises:
            AnnouncementError: A field is missing, unknown or malformed.
        """
        try:
            record = self._converter.structure(content, UpstreamRecord)
        except (cattrs.BaseValidationError, TypeError, ValueError) as error:
            faults = "; ".join(cattrs.transform_error(error))
            raise AnnouncementError(faults, step="accept announcement") from error
        if self._services.view.merge(record):
            self._services.refresh_service(record.service)
