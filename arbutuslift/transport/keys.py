"""CURVE key files: one secret file per process, one public file per allowed peer."""

import struct
from pathlib import Path

import zmq.auth
from attrs import field, frozen
from zmq.utils import z85

from ..errors import TransportError

PUBLIC_SUFFIX = ".key"
SECRET_SUFFIX = ".key_secret"
SECRET_MODE = 0o600
KEY_BYTES = 32


@frozen(kw_only=True)
class KeyPair:
    """Long-term CURVE keys of this process.

    Attributes:
        public: Public key, Z85 text.
        secret: Secret key, Z85 text.
    """

    public: bytes
    secret: bytes = field(repr=False)


def create_key_files(folder: Path, name: str) -> None:
    """Write ``NAME.key``, and ``NAME.key_secret`` that only its owner can read.

    Raises:
        TransportError: The files can't be written.
    """
    try:
        # The library creates files with the default mode but keeps the mode of an
        # existing file, so the secret file is created first.
        secret = folder / f"{name}{SECRET_SUFFIX}"
        secret.touch(mode=SECRET_MODE)
        secret.chmod(SECRET_MODE)
        zmq.auth.create_certificates(folder, name)
    except OSError as error:
        raise TransportError(
            str(error), step="create key files", peer=str(folder)
        ) from error


def key_name(path: Path) -> str:
    """Return the name under which peers know the owner of a secret key file.

    Raises:
        TransportError: The file isn't called ``NAME.key_secret``.
    """
    name = path.name.removesuffix(SECRET_SUFFIX)
    if name in ("", path.name):
        reason = f"must be called NAME{SECRET_SUFFIX}"
        raise TransportError(reason, step="load key", peer=str(path))
    return name


def load_key_pair(path: Path) -> KeyPair:
    """Read the keys of this process.

    Raises:
        TransportError: The file is missing, malformed or readable by others.
    """
    public, secret = _load(path)
    if secret is None:
        raise TransportError("no secret key", step="load key", peer=str(path))
    if path.stat().st_mode & 0o077:
        raise TransportError("readable by others", step="load key", peer=str(path))
    return KeyPair(public=public, secret=secret)


class AllowedKeys:
    """Public keys of the peers that may connect, one ``NAME.key`` file each.

    Args:
        folder: Holds the files.

    Raises:
        TransportError: A file is malformed, or two names share a key.
    """

    def __init__(self, folder: Path) -> None:
        self._folder = folder
        self._keys: dict[str, bytes] = {}
        self._names: dict[bytes, str] = {}
        self.reload()

    def reload(self) -> None:
        """Read the folder again; on an error the previous keys stay in effect."""
        keys = {
            path.name.removesuffix(PUBLIC_SUFFIX): _load(path)[0]
            for path in sorted(self._folder.glob(f"*{PUBLIC_SUFFIX}"))
        }
        names = {key: name for name, key in keys.items()}
        if len(names) < len(keys):
            raise TransportError(
                "two names share a key", step="load keys", peer=str(self._folder)
            )
        self._keys = keys
        self._names = names

    def key_of(self, name: str) -> bytes | None:
        """Return the public key of a peer."""
        return self._keys.get(name)

    def name_of(self, key: bytes) -> str | None:
        """Return the peer that owns a public key."""
        return self._names.get(key)


def _load(path: Path) -> tuple[bytes, bytes | None]:
    try:
        public, secret = zmq.auth.load_certificate(path)
    except (OSError, ValueError) as error:
        raise TransportError(str(error), step="load key", peer=str(path)) from error
    if not _is_key(public) or (secret is not None and not _is_key(secret)):
        raise TransportError("malformed key", step="load key", peer=str(path))
    return public, secret


def _is_key(text: bytes) -> bool:
    try:
        return len(z85.decode(text)) == KEY_BYTES
    except (KeyError, ValueError, struct.error):
        return False
