"""Certificate authority that issues TLS certificates for daemons."""

import datetime
import ipaddress
import pathlib

from cryptography import x509
from cryptography.hazmat.primitives import hashes, serialization
from cryptography.hazmat.primitives.asymmetric import ec
from cryptography.x509.oid import ExtendedKeyUsageOID, NameOID

from waxwingford.commands._keys import create_private_file, private_pem

_AUTHORITY_NAME = 'authority'
_AUTHORITY_DAYS = 3650
_DAEMON_DAYS = 365
#: Certificates are valid from before their issue, since VM clocks differ.
_NOT_BEFORE_MARGIN = datetime.timedelta(hours=1)


def issue_certificate(
    directory: pathlib.Path, name: str, host: str, now: datetime.datetime
) -> str:
    """Issue a daemon certificate, creating the authority if there is none.

    :param directory: directory of the authority's files, in which
        ``<name>.crt`` and ``<name>.key`` are created.
    :param name: daemon id, used as the common name.
    :param host: IP address at which the daemon is reached.
    :param now: current time, timezone-aware.
    :returns: error message, empty on success.
    :raises ValueError: if the authority's key is not an elliptic curve key.
    """
    try:
        address = ipaddress.ip_address(host)
    except ValueError:
        return f'{host!r}: expected an IP address, not a host name'
    directory.mkdir(parents=True, exist_ok=True)
    authority_key = _authority(directory, now)
    key = ec.generate_private_key(ec.SECP256R1())
    if not create_private_file(directory / f'{name}.key', private_pem(key)):
        return f'{directory / name}.key: already exists'
    certificate = (
        _certificate_builder(name, _AUTHORITY_NAME, now, _DAEMON_DAYS)
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
    _write_certificate(directory / f'{name}.crt', certificate)
    return ''


def _authority(
    directory: pathlib.Path, now: datetime.datetime
) -> ec.EllipticCurvePrivateKey:
    path = directory / f'{_AUTHORITY_NAME}.key'
    key = ec.generate_private_key(ec.SECP256R1())
    if not create_private_file(path, private_pem(key)):
        existing_key = serialization.load_pem_private_key(
            path.read_bytes(), None
        )
        if isinstance(existing_key, ec.EllipticCurvePrivateKey):
            return existing_key
        raise ValueError(f'{path}: expected an elliptic curve key')
    certificate = (
        _certificate_builder(
            _AUTHORITY_NAME, _AUTHORITY_NAME, now, _AUTHORITY_DAYS
        )
        .public_key(key.public_key())
        .add_extension(x509.BasicConstraints(True, 0), critical=True)
        .add_extension(_certificate_signing_usage(), critical=True)
        .add_extension(
            x509.SubjectKeyIdentifier.from_public_key(key.public_key()),
            critical=False,
        )
        .sign(key, hashes.SHA256())
    )
    _write_certificate(directory / f'{_AUTHORITY_NAME}.crt', certificate)
    return key


def _certificate_builder(
    subject: str, issuer: str, now: datetime.datetime, days: int
) -> x509.CertificateBuilder:
    return (
        x509.CertificateBuilder()
        .subject_name(_x509_name(subject))
        .issuer_name(_x509_name(issuer))
        .serial_number(x509.random_serial_number())
        .not_valid_before(now - _NOT_BEFORE_MARGIN)
        .not_valid_after(now + datetime.timedelta(days=days))
    )


def _x509_name(text: str) -> x509.Name:
    return x509.Name([x509.NameAttribute(NameOID.COMMON_NAME, text)])


def _certificate_signing_usage() -> x509.KeyUsage:
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


def _write_certificate(
    path: pathlib.Path, certificate: x509.Certificate
) -> None:
    path.write_bytes(certificate.public_bytes(serialization.Encoding.PEM))
