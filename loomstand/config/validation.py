"""What msgspec found wrong, with the key of the field. Pure."""

from __future__ import annotations

from typing import NamedTuple

import msgspec


class FieldError(NamedTuple):
    """What is wrong with a field.

    Attributes:
        key: The field's key, as in `settings.grades[1].effect`; empty for the whole document.
        problem: What is wrong there.
    """

    key: str
    problem: str


def locate_error(error: msgspec.ValidationError) -> FieldError:
    """Splits an error of msgspec, whose form is "problem - at `$.path.of.field`".

    The name of a field that is unknown or missing stands at the end of the problem and isn't part
    of the path: it is added here.
    """
    problem, _, path = str(error).partition(" - at `$")
    key = path.rstrip("`").lstrip(".")
    if "unknown field" in problem or "missing required field" in problem:
        field = problem.rpartition(" ")[2].strip("`")
        key = ".".join(part for part in (key, field) if part)
    return FieldError(key, problem)
