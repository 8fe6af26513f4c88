"""Key files: malformed keys and permissions of a new secret."""

import stat
from pathlib import Path

import pytest
import zmq.auth

from arbutuslift.errors import TransportError
from arbutuslift.transport.keys import AllowedKeys, create_key_files, load_key_pair


@pytest.mark.parametrize("key", ["", "short", "~" * 40, "#" * 40, "0" * 45])
@pytest.mark.parametrize("field", ["public-key", "secret-key"])
def test_malformed_keys_are_refused(tmp_path, field, key):
    """Guards against a key that fails only when it is set on a socket."""
    create_key_files(tmp_path, "ana")
    path = tmp_path / "ana.key_secret"
    lines = path.read_text().splitlines()
    changed = [f'{field} = "{key}"' if field in line else line for line in lines]
    path.write_text("\n".join(changed))
    with pytest.raises(TransportError, match="key"):
        load_key_pair(path)
    if field == "public-key":
        (tmp_path / "ana.key").write_text(f'{field} = "{key}"')
        with pytest.raises(TransportError, match="ana.key"):
            AllowedKeys(tmp_path)


def test_a_new_secret_is_never_readable_by_others(tmp_path, monkeypatch):
    """Guards against a secret that is readable until its mode is restricted."""
    modes = []
    create = zmq.auth.create_certificates

    def create_and_record_mode(folder, name):
        paths = create(folder, name)
        modes.append(stat.S_IMODE(Path(paths[1]).stat().st_mode))
        return paths

    monkeypatch.setattr(zmq.auth, "create_certificates", create_and_record_mode)
    create_key_files(tmp_path, "ana")
    (tmp_path / "ana.key_secret").chmod(0o644)
    create_key_files(tmp_path, "ana")
    assert modes == [0o600, 0o600]
