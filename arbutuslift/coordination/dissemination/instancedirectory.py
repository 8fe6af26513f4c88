"""Names and fabric addresses of the alive instances, for packet forwarding."""

from ...state.instances import InstanceRecord, InstanceView
from ...transport.fabric import Address


class InstanceDirectory:
    """Caches addresses from the view of instances: one look-up for each packet.

    Attributes:
        alive_names: Sorted names of this instance and of the others that aren't dead.

    Args:
        own_name: Name of this instance, which always counts as alive.
        instances: View of all instances.
    """

    def __init__(self, own_name: str, instances: InstanceView) -> None:
        self.alive_names = [own_name]
        self._own_name = own_name
        self._instances = instances
        self._addresses: dict[str, Address] = {}
        self._known_addresses: set[Address] = set()
        instances.on_change(self._on_record)

    def address_of(self, name: str) -> Address | None:
        """Return the fabric address of an instance, or None if it isn't alive."""
        return self._addresses.get(name)

    def is_instance(self, address: Address) -> bool:
        """Return whether an outer address belongs to an alive instance."""
        return address in self._known_addresses

    def _on_record(self, record: InstanceRecord) -> None:
        previous = self._addresses.pop(record.name, None)
        self._known_addresses.discard(previous)
        if record.is_alive and record.fabric_address:
            ip, _, port = record.fabric_address.rpartition(":")
            address = Address(ip, int(port))
            self._addresses[record.name] = address
            self._known_addresses.add(address)
        alive = {record.name for record in self._instances.alive_instances()}
        self.alive_names = sorted(alive | {self._own_name})
