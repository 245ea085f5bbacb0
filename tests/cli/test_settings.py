"""Test that all invalid settings are reported at once, by flag and variable."""

from typer.testing import CliRunner

from arbutusyard.cli.main import app
from standins.cluster import ROOT

RUNNER = CliRunner()


def test_all_invalid_settings_are_reported_at_once():
    result = RUNNER.invoke(
        app, ["entry", "--name", "E 1", "--listen", "nowhere", "--keep-s", "long"]
    )
    assert result.exit_code == 2
    for flag in ("name", "listen", "keep-s", "control", "platform", "keys"):
        variable = "ARBUTUSYARD_" + flag.replace("-", "_").upper()
        assert f"--{flag} (or {variable})" in result.output


def test_settings_are_read_from_the_environment():
    result = RUNNER.invoke(app, ["control"], env={"ARBUTUSYARD_NAME": "c0"})
    assert "--name" not in result.output
    assert "--region" in result.output


def test_wrong_answer_is_reported_with_exit_code_2(tmp_path):
    text = (ROOT / "examples/quetzal.toml").read_text()
    file = tmp_path / "wrong.toml"
    file.write_text(text.replace('urgency = "soon"', 'urgency = "later"'))
    result = RUNNER.invoke(app, ["workload", "check", str(file)])
    assert result.exit_code == 2
    assert "kinds[2].urgency: 'later' is given" in result.output
