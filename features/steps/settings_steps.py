"""Check the settings of a node and secret files."""

import configparser
import io
import tempfile
from pathlib import Path

from behave import given, then, when

from flamingobank.settings import (
    load_secrets,
    load_settings,
    parse_settings,
    render_settings,
)

COMPLETE_SETTINGS = """
[node]
id = graz-a-1
failure_domain = graz-a
region = steiermark
[listen]
callers = 0.0.0.0:8080
peers = 10.0.0.1:7100
servers = 10.0.0.1:7200
operators = 127.0.0.1:7300
[peers]
seeds = 10.0.0.2:7100, 10.0.0.3:7100
[store]
address = 10.9.0.1:8400
token_file = token
[secrets]
fleet_file = /etc/fleet
[limits]
max_connections = 500
[shutdown]
deadline_ms = 5000
"""


def load_text(text):
    """Load settings from a file and return (directory, result)."""
    with tempfile.TemporaryDirectory() as directory:
        path = Path(directory) / "node.ini"
        path.write_text(text)
        return Path(directory), load_settings(path)


@given("a settings file with every section")
def step_complete(context):
    context.settings_text = COMPLETE_SETTINGS


@when("the settings are loaded")
def step_load(context):
    context.directory, context.result = load_text(context.settings_text)
    assert context.result.is_ok(), [str(error) for error in context.result.error]


@then("the loaded node has the addresses, limits and paths of the file")
def step_values(context):
    node = context.result.ok
    assert node.callers == ("0.0.0.0", 8080), node
    assert node.seeds == (("10.0.0.2", 7100), ("10.0.0.3", 7100)), node
    assert node.store_token_file == context.directory / "token", node
    assert node.fleet_secret_file == Path("/etc/fleet"), node
    assert node.limits.max_connections == 500, node
    assert node.limits.max_head_bytes == 16_384, node
    assert node.shutdown_deadline_ms == 5000, node


@then("the loaded settings read back equal after they were rendered")
def step_round_trip(context):
    text = render_settings(context.result.ok)
    again = parse_settings(text, "rendered")
    assert again.is_ok() and again.ok == context.result.ok, (text, again)


@when('"{key}" of section "{section}" is "{value}" and the settings are loaded')
@when('"{key}" of section "{section}" is "" and the settings are loaded')
def step_change(context, key, section, value=""):
    parser = configparser.ConfigParser(interpolation=None)
    parser.read_string(context.settings_text)
    if not parser.has_section(section):
        parser.add_section(section)
    parser.set(section, key, value)
    buffer = io.StringIO()
    parser.write(buffer)
    _, context.result = load_text(buffer.getvalue())


@then('the only settings error is about "{section}" "{key}" and expects "{expected}"')
def step_one_error(context, section, key, expected):
    assert context.result.is_error(), context.result
    errors = context.result.error
    assert len(errors) == 1, [str(error) for error in errors]
    assert errors[0].section == section, errors
    assert errors[0].key in (key, ""), errors
    assert expected in errors[0].expected, errors


@when('a settings file with only "{text}" is loaded')
def step_load_part(context, text):
    _, context.result = load_text(text)


@then(
    "the settings errors name all {count:d} keys of "
    '"{section}" and all {more:d} keys of "{other}"'
)
def step_missing(context, count, section, more, other):
    places = [(error.section, error.key) for error in context.result.error]
    assert len([key for name, key in places if name == section]) == count, places
    assert len([key for name, key in places if name == other]) == more, places
    assert all("required" in error.expected for error in context.result.error), places


@when('a secret file of mode {mode} with the lines "{lines}" is loaded')
def step_secret(context, mode, lines):
    with tempfile.TemporaryDirectory() as directory:
        path = Path(directory) / "secret"
        path.write_text(lines.replace(" / ", "\n") + "\n")
        path.chmod(int(mode, 8))
        context.result = load_secrets(path)
    context.lines = lines.split(" / ")


@then('the secret result is "{result}" and shows no secret')
def step_secret_result(context, result):
    if context.result.is_ok():
        assert result == f"{len(context.result.ok)} secrets", context.result
        assert context.result.ok == tuple(line.encode() for line in context.lines)
        return
    text = str(context.result.error)
    assert result in text, text
    assert not any(line in text for line in context.lines), text
