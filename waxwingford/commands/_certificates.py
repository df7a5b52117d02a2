"""Small certificate authority for the daemons of a deployment."""

import datetime
import ipaddress
import pathlib

from cryptography import x509
from cryptography.hazmat.primitives import hashes, serialization
from cryptography.hazmat.primitives.asymmetric import ec
from cryptography.x509.oid import ExtendedKeyUsageOID, NameOID

from waxwingford.commands._keys import private_pem, write_private

_AUTHORITY = 'authority'
_AUTHORITY_DAYS = 3650
_DAEMON_DAYS = 365
#: Clocks of VMs differ; a certificate is good a little before it was made.
_BACKDATED = datetime.timedelta(hours=1)


def make_certificate(
    directory: pathlib.Path, name: str, host: str, now: datetime.datetime
) -> str:
    """Make a daemon's certificate, and the authority if there is none.

    :param directory: of the authority; files ``<name>.crt``, ``<name>.key``.
    :param name: daemon id.
    :param host: IP number that the daemon is reached by.
    :param now: present time, with its zone.
    :returns: what prevented it, empty if nothing did.
    """
    try:
        address = ipaddress.ip_address(host)
    except ValueError:
        return f'{host!r}: expected an IP number, not a name'
    directory.mkdir(parents=True, exist_ok=True)
    authority_key = _authority(directory, now)
    key = ec.generate_private_key(ec.SECP256R1())
    if not write_private(directory / f'{name}.key', private_pem(key)):
        return f'{directory / name}.key: is there already'
    certificate = (
        _builder(name, _AUTHORITY, now, _DAEMON_DAYS)
        .public_key(key.public_key())
        .add_extension(
            x509.SubjectAlternativeName([x509.IPAddress(address)]),
            critical=False,
        )
        .add_extension(
            x509.ExtendedKeyUsage(
                [
                    ExtendedKeyUsageOID.SERVER_AUTH,
                    ExtendedKeyUsageOID.CLIENT_AUTH,
                ]
            ),
            critical=False,
        )
        .add_extension(x509.BasicConstraints(False, None), critical=True)
        .add_extension(
            x509.AuthorityKeyIdentifier.from_issuer_public_key(
                authority_key.public_key()
            ),
            critical=False,
        )
        .sign(authority_key, hashes.SHA256())
    )
    _write(directory / f'{name}.crt', certificate)
    return ''


def _authority(
    directory: pathlib.Path, now: datetime.datetime
) -> ec.EllipticCurvePrivateKey:
    path = directory / f'{_AUTHORITY}.key'
    key = ec.generate_private_key(ec.SECP256R1())
    if not write_private(path, private_pem(key)):
        known = serialization.load_pem_private_key(path.read_bytes(), None)
        if isinstance(known, ec.EllipticCurvePrivateKey):
            return known
        raise ValueError(f'{path}: expected an elliptic curve key')
    certificate = (
        _builder(_AUTHORITY, _AUTHORITY, now, _AUTHORITY_DAYS)
        .public_key(key.public_key())
        .add_extension(x509.BasicConstraints(True, 0), critical=True)
        .add_extension(_signs_certificates(), critical=True)
        .add_extension(
            x509.SubjectKeyIdentifier.from_public_key(key.public_key()),
            critical=False,
        )
        .sign(key, hashes.SHA256())
    )
    _write(directory / f'{_AUTHORITY}.crt', certificate)
    return key


def _builder(
    subject: str, issuer: str, now: datetime.datetime, days: int
) -> x509.CertificateBuilder:
    return (
        x509.CertificateBuilder()
        .subject_name(_name(subject))
        .issuer_name(_name(issuer))
        .serial_number(x509.random_serial_number())
        .not_valid_before(now - _BACKDATED)
        .not_valid_after(now + datetime.timedelta(days=days))
    )


def _name(text: str) -> x509.Name:
    return x509.Name([x509.NameAttribute(NameOID.COMMON_NAME, text)])


def _signs_certificates() -> x509.KeyUsage:
    return x509.KeyUsage(
        digital_signature=False,
        content_commitment=False,
        key_encipherment=False,
        data_encipherment=False,
        key_agreement=False,
        key_cert_sign=True,
        crl_sign=True,
        encipher_only=False,
        decipher_only=False,
    )


def _write(path: pathlib.Path, certificate: x509.Certificate) -> None:
    path.write_bytes(certificate.public_bytes(serialization.Encoding.PEM))
