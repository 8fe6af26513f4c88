"""Key files: malformed keys."""

import pytest

from arbutuslift.errors import TransportError
from arbutuslift.transport.keys import AllowedKeys, create_key_files, load_key_pair


@pytest.mark.parametrize("key", ["", "short", "~" * 40, "#" * 40, "0" * 45])
@pytest.mark.parametrize("field", ["public-key", "secret-key"])
def test_malformed_keys_are_refused(tmp_path, field, key):
    """Guards against a key that fails only when a socket is given it."""
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
