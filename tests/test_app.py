"""Test the life cycle of an application whose components fail."""

import gevent

from arbutusyard.app import Application, AppState


class Part:
    """Component that records its steps and fails some of them."""

    def __init__(self, name, steps, *failing):
        self.name = name
        self._steps = steps
        self._failing = failing

    def setup(self, app):
        pass

    def drain(self):
        self._step("drain")

    def unload(self):
        self._step("unload")

    def _step(self, step):
        self._steps.append((step, self.name))
        if step in self._failing:
            raise RuntimeError("scripted")


# Guards against LOST around SIGTERM: the failure of one component to drain ended the
# process with the requests that were in flight.
def test_a_component_that_fails_to_stop_does_not_end_the_others(caplog):
    app, steps = Application("node"), []
    app.add(Part("peers", steps, "drain", "unload"))
    app.add(Part("ingress", steps))
    app.add(Part("weights", steps, "drain"))
    app.start()
    with gevent.Timeout(3.0):
        app.stop()
    assert steps == [
        ("drain", "peers"),
        ("drain", "ingress"),
        ("drain", "weights"),
        ("unload", "weights"),
        ("unload", "ingress"),
        ("unload", "peers"),
    ]
    assert app.state is AppState.STOPPED
    assert "Component peers failed to drain with RuntimeError: scripted" in caplog.text
