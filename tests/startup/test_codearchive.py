"""Guards against a process that runs other code than its sources, or doesn't start."""

import importlib
import marshal
import sys
from types import SimpleNamespace

import pytest
from attrs import frozen

from arbutuslift.startup.archivewriter import write_archive
from arbutuslift.startup.attrsmethods import MethodCache, use_prepared_methods
from arbutuslift.startup.codearchive import (
    EXTENSION,
    MAGIC,
    MODULE,
    PACKAGE,
    ArchiveError,
    CodeArchive,
    encode_archive,
)

NAMES = ("archived_one", "archived_package", "archived_package.inner")


@pytest.fixture(autouse=True)
def _forget_modules():
    yield
    for name in NAMES:
        sys.modules.pop(name, None)


def entries():
    sources = {
        "archived_one": (MODULE, "archived_one.py", "VALUE = 1"),
        "archived_package": (PACKAGE, "archived_package/__init__.py", ""),
        "archived_package.inner": (MODULE, "archived_package/inner.py", "VALUE = 2"),
    }
    return {
        name: (kind, "here", path, marshal.dumps(compile(source, path, "exec")))
        for name, (kind, path, source) in sources.items()
    }


def opened(tmp_path, content):
    path = tmp_path / "start"
    path.write_bytes(content)
    archive = CodeArchive(str(path), {"here": str(tmp_path)})
    sys.meta_path.insert(0, archive)
    return archive


def test_modules_and_packages_are_loaded_from_the_archive(tmp_path):
    archive = opened(tmp_path, encode_archive(entries(), {}))
    try:
        inner = importlib.import_module("archived_package.inner")
        assert inner.VALUE == 2
        assert inner.__file__ == f"{tmp_path}/archived_package/inner.py"
        package = sys.modules["archived_package"]
        assert package.__path__ == [f"{tmp_path}/archived_package"]
    finally:
        archive.close()


def test_other_modules_are_left_to_the_other_finders(tmp_path):
    archive = opened(tmp_path, encode_archive(entries(), {}))
    try:
        assert archive.find_spec("colorsys") is None
    finally:
        archive.close()
    assert archive not in sys.meta_path


def test_a_module_whose_code_is_cut_off_is_imported_the_usual_way(tmp_path):
    (tmp_path / "archived_package").mkdir()
    content = encode_archive(entries(), {})
    archive = opened(tmp_path, content[:-10])
    try:
        assert archive.find_spec("archived_one") is not None
        assert archive.find_spec("archived_package.inner") is None
    finally:
        archive.close()


@pytest.mark.parametrize(
    "content",
    [
        b"",
        MAGIC,
        b"x" + encode_archive({}, {})[1:],
        encode_archive({}, {}).replace(MAGIC, MAGIC + b"other", 1),
        encode_archive(entries(), {})[:60],
    ],
    ids=["empty", "header only", "other file", "other interpreter", "index cut off"],
)
def test_an_archive_that_cant_be_used_is_refused_as_a_whole(tmp_path, content):
    path = tmp_path / "start"
    path.write_bytes(content)
    with pytest.raises(ArchiveError):
        CodeArchive(str(path), {})


def test_a_missing_archive_is_refused(tmp_path):
    with pytest.raises(ArchiveError):
        CodeArchive(str(tmp_path / "none"), {})


def test_the_writer_archives_loaded_modules_below_its_roots(tmp_path, monkeypatch):
    (tmp_path / "archived_one.py").write_text("VALUE = 3\n")
    monkeypatch.syspath_prepend(str(tmp_path))
    importlib.import_module("archived_one")
    path = tmp_path / "target" / "start"
    roots = {"here": str(tmp_path)}
    assert write_archive(path, roots, MethodCache({})) == 1
    (tmp_path / "archived_one.py").unlink()
    archive = CodeArchive(str(path), roots)
    try:
        del sys.modules["archived_one"]
        sys.meta_path.insert(0, archive)
        assert importlib.import_module("archived_one").VALUE == 3
    finally:
        archive.close()


def test_an_extension_module_is_found_without_a_search(tmp_path):
    content = encode_archive({"_x": (EXTENSION, "here", "_x.so", b"")}, {})
    archive = opened(tmp_path, content)
    try:
        assert archive.find_spec("_x").origin == f"{tmp_path}/_x.so"
    finally:
        archive.close()


class TestMethodCache:
    SOURCE = "def __hash__(self):\n    return hash((\n                {},\n    1))\n"

    def test_a_source_is_compiled_once(self):
        first = MethodCache({})
        first.compile("x = 1", "<a>", "exec")
        second = MethodCache(first.methods)
        code = second.compile("x = 1", "<a>", "exec")
        space = {}
        exec(code, space)
        assert (space["x"], second.misses) == (1, 0)

    def test_a_changed_source_is_compiled_again(self):
        first = MethodCache({})
        first.compile("x = 1", "<a>", "exec")
        second = MethodCache(first.methods)
        space = {}
        exec(second.compile("x = 2", "<a>", "exec"), space)
        assert (space["x"], second.misses) == (2, 1)

    def test_the_random_number_in_a_hash_doesnt_matter(self):
        cache = MethodCache({})
        cache.compile(self.SOURCE.format(-12), "<a>", "exec")
        cache.compile(self.SOURCE.format(7), "<a>", "exec")
        assert cache.misses == 1

    def test_classes_are_the_same_with_prepared_methods(self, monkeypatch):
        module = importlib.import_module("attr._make")
        monkeypatch.setattr(module, "compile", compile, raising=False)
        cache = use_prepared_methods(module, {})
        first = make_class()
        again = use_prepared_methods(module, cache.methods)
        second = make_class()
        assert (again.misses, cache.misses > 0) == (0, True)
        for made in (first, second):
            assert made(1, b=2) == made(1, b=2) != made(1, b=3)
            assert len({made(1, b=2), made(1, b=2)}) == 1
            assert repr(made(1, b=2)).endswith("Made(a=1, b=2)")

    def test_another_module_isnt_affected(self):
        module = SimpleNamespace()
        use_prepared_methods(module, {})
        assert eval(module.compile("1 + 1", "<a>", "eval")) == 2


def make_class():
    @frozen
    class Made:
        a: int
        b: int = 0

    return Made
