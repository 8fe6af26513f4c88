"""Hash functions that give the same result on every instance."""

import xxhash


def hash_64(*parts: bytes) -> int:
    """Return a 64-bit hash of the parts, each prefixed with its length."""
    digest = xxhash.xxh3_64()
    for part in parts:
        digest.update(len(part).to_bytes(4, "big"))
        digest.update(part)
    return digest.intdigest()


def rendezvous_order(key: bytes, names: list[str]) -> list[str]:
    """Return names in descending order of their hash with the key."""
    return sorted(names, key=lambda name: hash_64(key, name.encode()), reverse=True)
