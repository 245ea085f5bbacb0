"""Test the restarts of failed tasks."""

import gevent
import pytest

from arbutusyard import clock, supervisor
from arbutusyard.supervisor import MAX_RESTART_DELAY_S, Supervisor
from tests.gateway.support import wait_for


@pytest.fixture
def tasks():
    running = Supervisor("node")
    yield running
    running.stop()


# Guards against DRAIN: after failures over its whole life each further one kept a task
# down for five seconds.
def test_a_task_that_ran_soundly_is_restarted_soon_again(tasks, monkeypatch):
    monkeypatch.setattr(supervisor, "SOUND_AFTER_S", 0.2)
    starts = []

    def failing():
        starts.append(clock.now())
        if len(starts) == 4:
            gevent.sleep(0.3)
        raise RuntimeError("scripted")

    tasks.spawn("t", failing)
    wait_for(lambda: len(starts) >= 5)
    gaps = [later - at for at, later in zip(starts, starts[1:], strict=False)]
    assert gaps[2] > 0.35
    assert gaps[3] < 0.3 + 0.2
    assert MAX_RESTART_DELAY_S <= 1.0


# The cut log lines of a failure in use did not show what had failed.
def test_the_log_line_of_a_failure_names_the_exception(tasks, caplog):
    def failing():
        raise KeyError("s1")

    tasks.spawn("servers", failing, restart=supervisor.Restart.NEVER)
    wait_for(lambda: caplog.records)
    (record,) = caplog.records
    assert record.getMessage() == "Task node.servers failed with KeyError: 's1'"
    assert record.restart_in_s is None
    assert record.ran_s >= 0
