"""The settings file."""

from __future__ import annotations

from dataclasses import FrozenInstanceError, fields, replace

import pytest
from configuration_samples import SETTINGS_TEXT

from loomstand.config.settings import SettingsError, parse_settings, read_settings


def test_example_settings():
    settings = parse_settings(
        SETTINGS_TEXT + "\nself.shoe_size=44\n# a note\nself.limits.disk_mb.more=x\n"
    )
    assert (settings.role, settings.serves, settings.loss_counted) == (
        "my-core",
        ("control_plane",),
        True,
    )
    assert (settings.limits.cpu_share, settings.limits.memory_mb, settings.limits.disk_mb) == (
        0.645,
        296,
        256,
    )
    assert (
        settings.listen_addresses.control_plane == ("10.1.0.33", 8783)
        and settings.listen_addresses.frontend is None
    )
    assert settings.seed_nodes[2] == ("10.3.0.14", 8783) and settings.internal_ports == (7340, 7355)
    assert (
        settings.zones == {"charguia": "tunis", "ben-arous": "tunis"}
        and settings.heartbeat_seconds == 1.5
    )
    assert (
        "quota" in settings.contracts
        and settings.tolerated_losses.machines == 1
        and settings.tolerated_losses.zones == 0
    )
    assert (
        settings.bounds.contact_seconds,
        settings.bounds.revocation_global,
        settings.bounds.budget_slack,
    ) == (
        4,
        True,
        62,
    )
    assert (settings.bounds.drain_seconds, settings.bounds.retry_budget_ratio) == (
        2.5,
        0.2,
    )  # the defaults, as the file lacks these fields
    assert (
        settings.registry_address("10.2.0.25") == ("10.2.0.25", 7340)
        and settings.store_address("10.2.0.25")[1] == 7341
    )
    assert settings == parse_settings(SETTINGS_TEXT.replace("\n", "\r\n"))
    with pytest.raises(FrozenInstanceError):
        settings.zone = "lac"


OPTIONAL_KEY_PREFIXES = (
    "self.serves",
    "self.data",
    "self.limits",
    "network.zones",
    "platform_settings",
    "rule_terms",
)


@pytest.mark.parametrize("line", SETTINGS_TEXT.split("\n")[1:-1])
def test_error_begins_with_the_key_of_its_setting(line):
    key = line.partition("=")[0]
    if not key.startswith(OPTIONAL_KEY_PREFIXES):
        with pytest.raises(SettingsError, match=f"^{key}: missing"):
            parse_settings(SETTINGS_TEXT.replace(line + "\n", ""))
    elif "serves" not in key:
        parse_settings(SETTINGS_TEXT.replace(line + "\n", ""))
    if not key.endswith(("data_directory", "discovery_source")):
        invalid = (
            ""
            if key.endswith(("name", "role", "class", "zone", "region")) or "zones" in key
            else "1,,x"
        )
        with pytest.raises(SettingsError, match=f"^{key}: [^\n]+$"):
            parse_settings(SETTINGS_TEXT.replace(line, f"{key}={invalid}"))
        with pytest.raises(SettingsError, match=f"^{key}: given twice$"):
            parse_settings(SETTINGS_TEXT + line)


def test_invalid_settings_are_refused():
    invalid_settings = [
        ("network.internal_ports", "7340,7340", "'7340,7340' leaves fewer than two ports"),
        ("network.seed_nodes", "", "empty"),
        ("self.loss_counted", "yes", "'yes' is neither true nor false"),
        ("self.limits.memory_mb", "2.5", "'2.5' is not a whole number"),
        ("rule_terms.bounds.budget_slack", "nan", "'nan' is not a number of 0 or more"),
    ]
    for key, value, message in invalid_settings:
        rest = "\n".join(line for line in SETTINGS_TEXT.split("\n") if not line.startswith(key))
        with pytest.raises(SettingsError) as raised:
            parse_settings(f"{rest}\n{key}={value}")
        assert str(raised.value) == f"{key}: {message}"
    with pytest.raises(
        SettingsError, match=r"^network\.listen_addresses\.frontend: missing, and self\.serves"
    ):
        parse_settings(SETTINGS_TEXT.replace("=control_plane", "=frontend"))
    with pytest.raises(
        SettingsError, match=r"^line 2: 'rule_terms\.bo' is not of the form a\.b=value"
    ):
        parse_settings("\nrule_terms.bo")


def test_settings_from_a_file(tmp_path):
    path = tmp_path / "settings.conf"
    with pytest.raises(SettingsError, match="can't be read"):
        read_settings(str(path))
    path.write_text(SETTINGS_TEXT)
    assert read_settings(str(path)) == parse_settings(SETTINGS_TEXT)


@pytest.mark.parametrize(
    ("prefix", "attribute"),
    [
        ("self.limits.", "limits"),
        ("rule_terms.tolerated_losses.", "tolerated_losses"),
        ("rule_terms.bounds.", "bounds"),
    ],
)
def test_each_field_of_a_table_is_read_from_its_own_key(prefix, attribute):
    without_table = "\n".join(
        line for line in SETTINGS_TEXT.split("\n") if not line.startswith(prefix)
    )
    default = getattr(parse_settings(without_table), attribute)
    assert default == type(default)()
    for field in fields(default):
        key = prefix + field.name.removesuffix("_seconds")
        text, value = ("true", True) if field.default is False else ("7", 7)
        if field.name.endswith("_seconds"):
            text = "7s"
        changed = getattr(parse_settings(f"{without_table}\n{key}={text}"), attribute)
        assert changed == replace(default, **{field.name: value})
