"""Write the program: a linked interpreter followed by a zip of modules.

``python -m tools.binary.build OUTPUT`` needs a C compiler, ``strip`` and the
interpreter's static library.
"""

import argparse
import ast
import importlib.metadata
import importlib.util
import marshal
import pathlib
import subprocess
import sys
import sysconfig
import tempfile
import zipfile

from packaging import requirements

HERE = pathlib.Path(__file__).parent
PACKAGE = HERE.parent.parent / 'berylhollow'
# A plot is drawn on an operator's machine, from an installed package.
EXCLUDED = frozenset({'matplotlib'})
EXTRAS = ('', 'commands')
# Parts of the standard library that nothing here imports.
UNUSED_FOLDERS = frozenset(
    {
        '__pycache__',
        'config-' + (sysconfig.get_config_var('MULTIARCH') or ''),
        'curses',
        'distutils',
        'ensurepip',
        'idlelib',
        'lib-dynload',
        'lib2to3',
        'pydoc_data',
        'site-packages',
        'sqlite3',
        'test',
        'tests',
        'tkinter',
        'turtledemo',
        'venv',
    }
)
UNUSED_NATIVE = (
    *('_codecs_', '_crypt', '_curses', '_dbm', '_gdbm', '_sqlite3', '_test'),
    *('_tkinter', '_xx', 'audioop', 'nis', 'ossaudiodev', 'readline'),
    *('spwd', 'xx'),
)
SOURCE_SUFFIX = '.py'
DATA_SUFFIXES = frozenset({'.json', '.jsonc', '.typed'})
METADATA_FILES = frozenset({'METADATA', 'entry_points.txt'})
NATIVE_TAG = sysconfig.get_config_var('EXT_SUFFIX')
# Only zlib makes compressed members loadable; these are needed to load it.
STORED = ('_start', 'encodings/', 'importlib/', 'native/zlib', 'warnings')


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('output', type=pathlib.Path)
    output = parser.parse_args().output
    output.parent.mkdir(parents=True, exist_ok=True)
    with tempfile.TemporaryDirectory() as folder:
        scratch = pathlib.Path(folder)
        launcher = link_launcher(scratch)
        archive = write_archive(scratch)
        output.write_bytes(launcher.read_bytes() + archive.read_bytes())
    output.chmod(0o755)
    print(f'{output}: {output.stat().st_size / 1e6:.1f} MB')


def link_launcher(scratch: pathlib.Path) -> pathlib.Path:
    """Return the interpreter linked with ``launcher.c``, stripped."""
    launcher = scratch / 'launcher'
    library_folder = pathlib.Path(sysconfig.get_config_var('LIBPL'))
    library = library_folder / sysconfig.get_config_var('LIBRARY')
    command = [
        sysconfig.get_config_var('CC').split()[0],
        '-O2',
        f'-I{sysconfig.get_path("include")}',
        str(HERE / 'launcher.c'),
        '-o',
        str(launcher),
        # Compiled modules look up the interpreter's functions here.
        '-Wl,--export-dynamic,--whole-archive',
        str(library),
        '-Wl,--no-whole-archive',
        '-ldl',
        '-lm',
        '-lpthread',
        '-lutil',
    ]
    subprocess.run(command, check=True)
    subprocess.run(['strip', '--strip-all', str(launcher)], check=True)
    return launcher


def write_archive(scratch: pathlib.Path) -> pathlib.Path:
    """Return a zip of every module that the program may import."""
    path = scratch / 'modules.zip'
    with zipfile.ZipFile(path, 'w') as archive:
        add_source(archive, HERE / 'start.py', '_start.py')
        add_standard_library(archive, scratch)
        add_folder(archive, scratch, PACKAGE, PACKAGE.parent)
        for distribution in distributions():
            add_distribution(archive, scratch, distribution)
        add_namespaces(archive)
    return path


def add_namespaces(archive: zipfile.ZipFile) -> None:
    """Add an entry for each folder without ``__init__``.

    zipimport finds such a package only by its folder's own entry.
    """
    names = set(archive.namelist())
    folders = {
        parent.as_posix()
        for name in names
        for parent in pathlib.PurePosixPath(name).parents
        if parent.name and parent.name.isidentifier()
    }
    for folder in sorted(folders):
        if f'{folder}/__init__.pyc' not in names:
            add_bytes(archive, f'{folder}/', b'')


def distributions() -> list[importlib.metadata.Distribution]:
    """Return what berylhollow needs at run time, directly or not."""
    found: dict[str, importlib.metadata.Distribution] = {}
    waiting = [(importlib.metadata.distribution('berylhollow'), EXTRAS)]
    while waiting:
        distribution, extras = waiting.pop()
        for text in distribution.requires or ():
            requirement = requirements.Requirement(text)
            name = requirement.name.lower().replace('_', '-')
            if name in found or name in EXCLUDED:
                continue
            if not applies(requirement, extras):
                continue
            found[name] = importlib.metadata.distribution(name)
            waiting.append((found[name], ('', *requirement.extras)))
    return list(found.values())


def applies(requirement, extras) -> bool:
    marker = requirement.marker
    if marker is None:
        return True
    return any(marker.evaluate({'extra': extra}) for extra in extras)


def add_standard_library(archive, scratch) -> None:
    folder = pathlib.Path(sysconfig.get_path('stdlib'))
    for path in sorted(folder.iterdir()):
        if path.is_dir():
            add_folder(archive, scratch, path, folder)
        else:
            add_file(archive, scratch, path, path.name)
    native = sorted((folder / 'lib-dynload').iterdir())
    for path in native:
        if not path.name.startswith(UNUSED_NATIVE):
            add_file(archive, scratch, path, path.name)


def add_folder(archive, scratch, folder, root) -> None:
    if folder.name in UNUSED_FOLDERS or folder.name.startswith('config-'):
        return
    for path in sorted(folder.iterdir()):
        if path.is_dir():
            add_folder(archive, scratch, path, root)
        else:
            add_file(archive, scratch, path, str(path.relative_to(root)))


def add_distribution(archive, scratch, distribution) -> None:
    for file in sorted(distribution.files or (), key=str):
        path = pathlib.Path(distribution.locate_file(file))
        outside = file.parts[0] in ('..', 'bin')
        if outside or UNUSED_FOLDERS.intersection(file.parts):
            continue
        add_file(archive, scratch, path, str(file))


def add_file(archive, scratch, path: pathlib.Path, name: str) -> None:
    """Add a file under the name that its module or data is looked up by."""
    if path.suffix == SOURCE_SUFFIX:
        add_source(archive, path, name)
    elif path.name.endswith(NATIVE_TAG):
        module = name.removesuffix(NATIVE_TAG).replace('/', '.')
        add_native(archive, scratch, path, f'native/{module}.so')
    elif path.suffix in DATA_SUFFIXES or path.name in METADATA_FILES:
        add_bytes(archive, name, path.read_bytes())


def add_source(archive, path: pathlib.Path, name: str) -> None:
    """Add a module compiled without docstrings, which stay in memory."""
    tree = ast.parse(path.read_bytes(), str(path))
    drop_docstrings(tree)
    code = compile(tree, name, 'exec', dont_inherit=True, optimize=0)
    # Flags and source stamp are zero: there is no source to compare with.
    header = importlib.util.MAGIC_NUMBER + bytes(12)
    add_bytes(archive, f'{name}c', header + marshal.dumps(code))


def drop_docstrings(tree: ast.Module) -> None:
    documented = (ast.FunctionDef, ast.AsyncFunctionDef, ast.ClassDef)
    for node in ast.walk(tree):
        if isinstance(node, documented) and ast.get_docstring(node, False):
            node.body[0] = ast.copy_location(ast.Pass(), node.body[0])


def add_native(archive, scratch, path: pathlib.Path, name: str) -> None:
    stripped = scratch / 'native.so'
    command = ['strip', '--strip-unneeded', '-o', str(stripped), str(path)]
    subprocess.run(command, check=True)
    add_bytes(archive, name, stripped.read_bytes())


def add_bytes(archive, name: str, content: bytes) -> None:
    # A fixed time, so that equal inputs give an equal file.
    info = zipfile.ZipInfo(name, (1980, 1, 1, 0, 0, 0))
    if not name.startswith(STORED):
        info.compress_type = zipfile.ZIP_DEFLATED
    archive.writestr(info, content)


if __name__ == '__main__':
    sys.exit(main())
