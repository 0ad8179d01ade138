"""First module of the built program: import compiled modules from its zip.

A compiled module can only be loaded from a file. The instances have no
disks, and a folder of unpacked modules would stay in memory whole; so each
module is written, when it is first imported, to an anonymous file that only
this process has and that goes away with it.
"""

import importlib.machinery
import os
import sys

NATIVE_FOLDER = 'native/'
NATIVE_SUFFIX = '.so'


class NativeFinder:
    """Find compiled modules among the ``native/`` members of the zip."""

    def __init__(self, archive):
        self.archive = archive

    def find_spec(self, name, path=None, target=None):
        try:
            content = self.archive.get_data(
                f'{NATIVE_FOLDER}{name}{NATIVE_SUFFIX}'
            )
        except OSError:
            return None
        # The file stays open: the dynamic linker takes two modules with one
        # path for the same, and a closed descriptor's number is used again.
        file = os.memfd_create(name, os.MFD_CLOEXEC)
        with open(file, 'wb', closefd=False) as stream:
            stream.write(content)
        path = f'/proc/self/fd/{file}'
        loader = importlib.machinery.ExtensionFileLoader(name, path)
        return importlib.machinery.ModuleSpec(name, loader, origin=path)


def main():
    sys.meta_path.append(NativeFinder(__loader__))
    from berylhollow import __main__

    return __main__.main()
