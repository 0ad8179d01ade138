"""The refusal of a request that has not run."""

import dataclasses

from berylhollow import errors


@dataclasses.dataclass(frozen=True, slots=True)
class Refusal:
    """Why a request is refused, and after how long its caller may retry.

    ``retry_after_ms`` is 0 if that is not known.
    """

    kind: errors.Kind
    retry_after_ms: int = 0
