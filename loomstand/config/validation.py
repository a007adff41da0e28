"""Validation errors of msgspec, split into the field's key and the problem. Pure."""

from __future__ import annotations

from typing import NamedTuple

import msgspec


class FieldError(NamedTuple):
    """An invalid field.

    Attributes:
        key: The field's key, such as `settings.grades[1].effect`; empty for the whole document.
        problem: Description of the problem.
    """

    key: str
    problem: str


def locate_error(error: msgspec.ValidationError) -> FieldError:
    """Splits an error of msgspec, whose form is "problem - at `$.path.of.field`".

    For an unknown or missing field msgspec gives the name at the end of the problem and not in the
    path; it is appended to the key here.
    """
    problem, _, path = str(error).partition(" - at `$")
    key = path.rstrip("`").lstrip(".")
    if "unknown field" in problem or "missing required field" in problem:
        field = problem.rpartition(" ")[2].strip("`")
        key = ".".join(part for part in (key, field) if part)
    return FieldError(key, problem)
