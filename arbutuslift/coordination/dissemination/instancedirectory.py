"""Names and fabric addresses of the alive instances, for the packet path."""

from ...state.instances import InstanceRecord, InstanceView
from ...transport.fabric import Address


class InstanceDirectory:
    """Follows the view of instances, so that a packet costs one look-up.

    Attributes:
        alive_names: Names of the instances that aren't known to be dead.

    Args:
        own_name: Name of this instance, which is always alive.
        instances: The known instances.
    """

    def __init__(self, own_name: str, instances: InstanceView) -> None:
        self.alive_names = [own_name]
        self._own_name = own_name
        self._instances = instances
        self._addresses: dict[str, Address] = {}
        self._known: set[Address] = set()
        instances.on_change(self._take)

    def address_of(self, name: str) -> Address | None:
        """Return the fabric address of an alive instance."""
        return self._addresses.get(name)

    def is_instance(self, address: Address) -> bool:
        """Whether an outer address is an instance's fabric address."""
        return address in self._known

    def _take(self, record: InstanceRecord) -> None:
        previous = self._addresses.pop(record.name, None)
        self._known.discard(previous)
        if record.is_alive and record.fabric_address:
            ip, _, port = record.fabric_address.rpartition(":")
            address = Address(ip, int(port))
            self._addresses[record.name] = address
            self._known.add(address)
        alive = {record.name for record in self._instances.alive_instances()}
        self.alive_names = sorted(alive | {self._own_name})
