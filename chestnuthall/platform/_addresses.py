"""The type of addresses in objects and settings of the platform."""

from ipaddress import AddressValueError, IPv4Address
from typing import Annotated

from pydantic import AfterValidator

PORT_MAX = 65_535


def check_address(value: str) -> str:
    """Return ``value`` if it is an IPv4 address and a port, such as ``10.1.0.9:80``.

    Raises ``ValueError`` otherwise.
    """
    host, _, port = value.rpartition(":")
    try:
        IPv4Address(host)
    except AddressValueError:
        raise ValueError("the host must be an IPv4 address") from None
    is_number = port.isascii() and port.isdecimal() and len(port) <= len(str(PORT_MAX))
    if not is_number or not 1 <= int(port) <= PORT_MAX:
        raise ValueError(f"the port must be from 1 to {PORT_MAX}")
    return value


SocketAddress = Annotated[str, AfterValidator(check_address)]
