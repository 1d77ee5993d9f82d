from json import loads
from re import findall
from subprocess import run
from sys import executable

import pytest

from cyclamentally_testing.platform_server import PlatformServer

PROFILE = """
[services.standings]
timeout_ms = {timeout}
[routes."/standings"]
service = "standings"
"""


@pytest.fixture
def server():
    server = PlatformServer()
    server.start()
    yield server
    server.close()


@pytest.fixture
def operate(server, tmp_path):
    settings = tmp_path / "operator.toml"
    settings.write_text(
        f'[platform]\nurl = "{server.url}"\n[operator]\nname = "ann"\n'
        '[nodes]\nadmin = ["127.0.0.1:1"]\n'
    )

    def operate(*arguments):
        command = [executable, "-m", "cyclamentally_cli.main", *arguments]
        command += ["--settings", str(settings)]
        return run(command, capture_output=True, text=True, check=False)

    return operate


@pytest.fixture
def profile(tmp_path):
    def write(timeout):
        path = tmp_path / f"night-{timeout}.toml"
        path.write_text(PROFILE.format(timeout=timeout))
        return str(path)

    return write


def test_profile_is_written_read_compared_and_reverted(operate, profile):
    assert operate("profile", "put", "night", profile(100)).returncode == 0
    assert "version 2" in operate("profile", "put", "night", profile(200)).stdout
    got = loads(operate("profile", "get", "night", "--json").stdout)
    assert got["document"]["services"]["standings"]["timeout_ms"] == 200
    assert got["writer"] == "ann"
    changes = operate("profile", "diff", "night", profile(300)).stdout
    assert '-      "timeout_ms": 200' in changes
    assert '+      "timeout_ms": 300' in changes
    assert "version 3" in operate("profile", "revert", "night", "1").stdout
    history = loads(operate("profile", "history", "night", "--json").stdout)
    assert [entry["version"] for entry in history] == [1, 2, 3]
    assert history[2]["document"] == history[0]["document"]
    listed = loads(operate("profile", "list", "--json").stdout)
    assert [entry["name"] for entry in listed] == ["night"]


def test_invalid_profile_exits_with_2_and_names_the_key(operate, profile):
    result = operate("profile", "put", "night", profile(1))
    assert result.returncode == 2
    assert "services.standings.timeout_ms: 1 is not in" in result.stderr


def test_conflict_exits_with_3_and_names_version_and_writer(operate, profile):
    operate("profile", "put", "night", profile(100))
    result = operate("profile", "put", "night", profile(200), "--expected", "7")
    assert result.returncode == 3
    assert "version 1, written by ann" in result.stderr


def test_platform_outage_exits_with_4(operate, profile, server):
    server.faults.up = False
    result = operate("profile", "put", "night", profile(100))
    assert result.returncode == 4
    assert "platform_unavailable" in result.stderr


def test_lost_answer_of_an_applied_write_is_a_success(operate, profile, server):
    operate("profile", "put", "night", profile(100))
    server.faults.lose_answers = 2
    result = operate("profile", "put", "night", profile(200))
    assert (result.returncode, result.stderr) == (0, "")
    got = loads(operate("profile", "get", "night", "--json").stdout)
    assert got["version"] == 2


def test_status_without_a_node_exits_with_4(operate):
    result = operate("status")
    assert result.returncode == 4
    assert "node_unreachable" in result.stderr


@pytest.mark.parametrize("shell", ["bash", "zsh", "fish"])
def test_completion_names_the_commands(shell):
    command = [executable, "-m", "cyclamentally_cli.main", "completion", shell]
    result = run(command, capture_output=True, text=True, check=False)
    assert result.returncode == 0
    assert {"profile", "put", "status"} <= set(findall(r"[a-z]+", result.stdout))
