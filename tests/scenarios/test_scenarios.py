"""Run each scenario file in this folder."""

import pytest

from tests.scenarios.language import HERE, Scenario

FILES = sorted(HERE.glob("*.scn"))


@pytest.mark.parametrize("file", FILES, ids=lambda file: file.stem)
def test_scenario_meets_every_condition(file, cluster):
    Scenario(cluster).run(file.read_text())
