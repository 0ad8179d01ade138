"""Write the files that are generated from declarations in the package."""

import pathlib

from berylhollow import errors
from berylhollow import metrics
from berylhollow import settings
from berylhollow.util import exits

ROOT = pathlib.Path(__file__).resolve().parent.parent

GENERATED = {
    'berylhollow/defaults.jsonc': settings.defaults_text,
    'docs/reference/settings.md': settings.reference_text,
    'docs/reference/errors.md': errors.reference_text,
    'docs/reference/exit-codes.md': exits.reference_text,
    'docs/reference/metrics.md': metrics.reference_text,
}


def main():
    for name, text in GENERATED.items():
        path = ROOT / name
        path.parent.mkdir(parents=True, exist_ok=True)
        path.write_text(text(), encoding='utf-8')
        print(f'wrote {name}')


if __name__ == '__main__':
    main()
