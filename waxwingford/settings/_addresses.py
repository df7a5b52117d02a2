"""Checks of addresses in settings files."""

import ipaddress

_MAX_PORT = 65_535


def validate_ip_address(host: str) -> str:
    """Check that a host is an IP address; daemons do not resolve host names.

    :param host: value from the settings file.
    :returns: the unchanged value.
    :raises ValueError: if the value is not an IPv4 or IPv6 address.
    """
    try:
        ipaddress.ip_address(host)
    except ValueError:
        raise ValueError('an IP address, not a host name') from None
    return host


def validate_endpoint(text: str) -> str:
    """Check that a text is an IP address and a port.

    :param text: value from the settings file.
    :returns: the unchanged value.
    :raises ValueError: if it is not.
    """
    host, separator, port = text.rpartition(':')
    if not separator or not port.isdecimal() or int(port) > _MAX_PORT:
        raise ValueError('ADDRESS:PORT')
    validate_ip_address(host)
    return text
