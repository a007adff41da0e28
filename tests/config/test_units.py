"""Text formats of times, versions and addresses."""

from __future__ import annotations

import pytest

from loomstand.config import units


def test_parsing_and_formatting():
    assert (
        units.parse_seconds("1500ms") == 1.5
        and units.parse_seconds("2.5s") == 2.5
        and units.parse_seconds("0ms") == 0
    )
    assert units.parse_version("r12") == 12 and units.format_version(12) == "r12"
    assert units.parse_address("10.1.0.3:8783") == ("10.1.0.3", 8783)
    assert units.format_address(("10.1.0.3", 8783)) == "10.1.0.3:8783"


def test_errors_quote_the_value_and_name_the_problem():
    invalid_texts = {
        units.parse_seconds: [
            "",
            "5",
            "s",
            "-1s",
            "1e3ms",
            "1 s",
            "nans",
            ".5s",
            "2m",
            "\u0663s",
            "9" * 400 + "s",
        ],
        units.parse_version: [
            "",
            "r",
            "7",
            "R7",
            "r-1",
            "r1.0",
            "r\u0663",
            f"r{2**63}",
            "r" + "9" * 9000,
        ],
        units.parse_address: [
            "10.1.0.3",
            "a:1",
            "1.1.0:1",
            "1.1.0.256:1",
            "1.1.0.03:1",
            "1.1.0.3:0",
            "::1:80",
        ],
    }
    for parse, texts in invalid_texts.items():
        for text in texts:
            with pytest.raises(units.UnitError, match=r"^'.{0,59}('|\.\.\.) is (not|too) "):
                parse(text)
