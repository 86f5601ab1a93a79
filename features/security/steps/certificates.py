"""Certificates that are generated for one test."""

import datetime
import ipaddress
import os

from cryptography import x509
from cryptography.hazmat.primitives import hashes, serialization
from cryptography.hazmat.primitives.asymmetric import ec
from cryptography.x509.oid import NameOID

VALID_DAYS = 2


class CertificateAuthority:
    """Issues certificates for 127.0.0.1 and writes them to a folder."""

    __slots__ = ("_folder", "_key", "_certificate")

    def __init__(self, folder):
        self._folder = folder
        self._key = ec.generate_private_key(ec.SECP256R1())
        self._certificate = self._sign("authority", self._key, is_authority=True)
        self._write("authority.pem", _encode(self._certificate))

    @property
    def path(self):
        """Return the file of the authority's certificate."""
        return os.path.join(self._folder, "authority.pem")

    def issue(self, name):
        """Write a new key and certificate; return their files and the serial number."""
        key = ec.generate_private_key(ec.SECP256R1())
        certificate = self._sign(name, key, is_authority=False)
        self._write("identity.pem", _encode(certificate))
        encoded = key.private_bytes(
            serialization.Encoding.PEM,
            serialization.PrivateFormat.PKCS8,
            serialization.NoEncryption(),
        )
        self._write("identity.key", encoded)
        files = {
            "certificate": os.path.join(self._folder, "identity.pem"),
            "key": os.path.join(self._folder, "identity.key"),
        }
        return files, certificate.serial_number

    def _sign(self, name, key, is_authority):
        subject = x509.Name([x509.NameAttribute(NameOID.COMMON_NAME, name)])
        issuer = x509.Name([x509.NameAttribute(NameOID.COMMON_NAME, "authority")])
        now = datetime.datetime.now(datetime.timezone.utc)
        address = x509.IPAddress(ipaddress.ip_address("127.0.0.1"))
        builder = (
            x509.CertificateBuilder()
            .subject_name(subject)
            .issuer_name(issuer)
            .public_key(key.public_key())
            .serial_number(x509.random_serial_number())
            .not_valid_before(now - datetime.timedelta(days=1))
            .not_valid_after(now + datetime.timedelta(days=VALID_DAYS))
            .add_extension(x509.BasicConstraints(is_authority, None), True)
            .add_extension(x509.SubjectAlternativeName([address]), False)
        )
        return builder.sign(self._key, hashes.SHA256())

    def _write(self, name, data):
        with open(os.path.join(self._folder, name), "wb") as file:
            file.write(data)


def _encode(certificate):
    return certificate.public_bytes(serialization.Encoding.PEM)
